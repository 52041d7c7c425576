#ifndef BASILSPREAD_NODE_HTTP_EXCHANGE_H_
#define BASILSPREAD_NODE_HTTP_EXCHANGE_H_

#include <Poco/Net/StreamSocket.h>

#include <boost/intrusive/set_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/time.h"
#include "call_queue.h"
#include "connection_budget.h"
#include "http_call.h"
#include "http_head.h"

namespace basilspread::node {

/// Address of a server and name of the lane.
using Lane = std::pair<std::string, std::string>;

/// The queued calls of a lane and their connection. Used by the loop's thread
/// only; no method blocks.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_unsafe_counter> {
 public:
  HttpExchange(Lane its_lane, ConnectionBudgetPtr connection_budget);

  void Add(HttpCall call) { this->calls.Add(std::move(call)); }
  /// Connects or writes the next request if a call is queued and none is in
  /// progress. Leaves a call whose deadline has passed to Expire.
  void Advance();
  /// Called when the socket is writable or connecting it has finished.
  void OnWritable();
  void OnReadable();
  /// Closes the connection and fails the call in progress. `delay` is reported
  /// only if nothing of the call was sent.
  void Fail(const std::string& reason, HttpDelay delay = HttpDelay::kNone);
  /// Fails the calls whose deadline has passed.
  void Expire(TimePoint now);

  /// The earliest time at which a call fails or is overtaken.
  std::optional<TimePoint> NextTime() const;
  /// Time at which the calls behind the one in progress move to another
  /// connection; unset if there are none or the call has no `slow_after`.
  std::optional<TimePoint> OvertakeAt() const;
  /// Removes and returns all calls but the front one.
  std::vector<HttpCall> TakeWaiting() { return this->calls.TakeWaiting(); }
  bool IsIdle() const { return this->calls.IsEmpty(); }
  /// Number of calls without a reply.
  std::size_t CountCalls() const { return this->calls.Count(); }
  bool IsConnected() const { return this->socket.has_value(); }
  bool WantsToWrite() const {
    return this->connecting || this->written < this->output.size();
  }

  const Lane lane;
  /// Calls of this exchange that are included in the loop's count.
  std::size_t counted_calls = 0;
  /// The exchange has one slow call and no longer belongs to its lane.
  bool is_detached = false;
  std::optional<Poco::Net::StreamSocket> socket;
  /// Events that the poll set watches the socket for; 0 if it is not watched.
  int poll_mode = 0;
  /// The socket that the poll set watches.
  std::optional<Poco::Net::StreamSocket> watched;
  /// Position in the loop's schedule, and the time that it is scheduled for.
  boost::intrusive::set_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
      in_schedule;
  TimePoint scheduled_for;

 private:
  void Connect();
  void Write();
  void Finish(HttpReply reply);
  /// Returns whether a complete head was received. Throws Poco::Exception if it
  /// is malformed.
  bool TakeHead();
  /// Returns whether a complete response was received, and finishes the call
  /// with it. Throws Poco::Exception if it is malformed.
  bool TakeReply();
  void ClearInput();
  /// Makes room for the bytes of the input buffer that arrive next.
  void Reserve(std::size_t count);
  /// Limit of the response to the call in progress.
  std::size_t MaxReplyBytes() const;
  /// Drops the connection with its account.
  void Disconnect();

  const ConnectionBudgetPtr budget;
  /// Set while the exchange is connected.
  std::optional<ConnectionAccount> account;
  CallQueue calls;
  bool connecting = false;
  /// Whether the front call is being written or waits for its response.
  bool busy = false;
  std::string output;
  std::size_t written = 0;
  std::string input;
  /// Head of the response that is being read.
  std::optional<ResponseHead> head;
  std::size_t head_bytes = 0;
  TimePoint sent_at;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_EXCHANGE_H_
