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
#include "http_call.h"
#include "http_head.h"

namespace basilspread::node {

/// A server's address, and the name of the lane to it.
using Lane = std::pair<std::string, std::string>;

/// The calls of one lane and their connection. Used by the loop's thread
/// only; no call blocks.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_unsafe_counter> {
 public:
  explicit HttpExchange(Lane its_lane);

  void Add(HttpCall call) { this->calls.Add(std::move(call)); }
  /// Connects or writes the next request, if one waits and none is under way.
  /// One whose deadline has passed is left to Expire.
  void Advance();
  /// The socket can be written to, or connecting to it has ended.
  void OnWritable();
  void OnReadable();
  /// Gives up the connection and the call under way. `delay` counts where
  /// nothing of the call was sent.
  void Fail(const std::string& reason, HttpDelay delay = HttpDelay::kNone);
  /// Gives up calls whose deadline has passed.
  void Expire(TimePoint now);

  /// The earliest time at which a call is given up or overtaken.
  std::optional<TimePoint> NextTime() const;
  /// When the calls that wait are to take another connection; unset while
  /// none waits behind one under way.
  std::optional<TimePoint> OvertakeAt() const;
  /// All calls but the first.
  std::vector<HttpCall> TakeWaiting() { return this->calls.TakeWaiting(); }
  bool IsIdle() const { return this->calls.IsEmpty(); }
  /// Calls without a reply.
  std::size_t CountCalls() const { return this->calls.Count(); }
  bool IsConnected() const { return this->socket.has_value(); }
  bool WantsToWrite() const {
    return this->connecting || this->written < this->output.size();
  }

  const Lane lane;
  /// As of the last time that the loop settled it.
  std::size_t settled_calls = 0;
  /// Its lane has left it to one slow call.
  bool is_straggler = false;
  std::optional<Poco::Net::StreamSocket> socket;
  /// What the poll set watches the socket for; 0: it does not.
  int poll_mode = 0;
  /// The socket that the poll set watches.
  std::optional<Poco::Net::StreamSocket> watched;
  /// Its place in the loop's schedule, and the time that it has there.
  boost::intrusive::set_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
      in_schedule;
  TimePoint scheduled_for;

 private:
  void Connect();
  void Write();
  void Finish(HttpReply reply);
  /// Whether a whole head has come. Throws Poco::Exception when it is
  /// malformed.
  bool TakeHead();
  /// Whether a whole response has come; ends the call with it. Throws
  /// Poco::Exception when it is malformed.
  bool TakeReply();
  void ClearInput();

  CallQueue calls;
  bool connecting = false;
  /// The first call of the queue is being written or waits for its answer.
  bool busy = false;
  std::string output;
  std::size_t written = 0;
  std::string input;
  /// Of the response that is being read.
  std::optional<ResponseHead> head;
  std::size_t head_bytes = 0;
  TimePoint sent_at;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_EXCHANGE_H_
