#ifndef BASILSPREAD_NODE_HTTP_EXCHANGE_H_
#define BASILSPREAD_NODE_HTTP_EXCHANGE_H_

#include <Poco/Net/StreamSocket.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/payload.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

enum class HttpOutcome {
  kAnswered,
  /// No byte of the request left this process.
  kNotSent,
  /// The request may have arrived, and no whole answer came.
  kLost,
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  /// Why there is no answer.
  std::string reason;
  /// When the request was written.
  TimePoint sent_at;
};

struct HttpCall {
  /// IP number and port.
  std::string address;
  /// Calls of one lane to one address follow each other.
  std::string lane;
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /// The call is given up at this point.
  TimePoint deadline;
  /// Without an answer after this time, what waits behind the call takes
  /// another connection; zero: it waits.
  Duration slow_after{};
  std::function<void(HttpReply)> done;
};

/// The calls of one lane and their connection. Used by the loop's thread
/// only; no call blocks.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_unsafe_counter> {
 public:
  explicit HttpExchange(std::string server_address);

  void Add(HttpCall call) { this->calls.push_back(std::move(call)); }
  /// Connects or writes the next request, if one waits and none is under way.
  void Advance();
  /// The socket can be written to, or connecting to it has ended.
  void OnWritable();
  void OnReadable();
  /// Gives up the connection and the call under way.
  void Fail(const std::string& reason);
  /// Gives up calls whose deadline has passed.
  void Expire(TimePoint now);

  std::optional<TimePoint> NextDeadline() const;
  /// When the calls that wait are to take another connection; unset while
  /// none waits behind one under way.
  std::optional<TimePoint> OvertakeAt() const;
  /// All calls but the first.
  std::deque<HttpCall> TakeWaiting();
  bool IsIdle() const { return this->calls.empty(); }
  bool IsConnected() const { return this->socket.has_value(); }
  bool WantsToWrite() const {
    return this->connecting || this->written < this->output.size();
  }

  std::optional<Poco::Net::StreamSocket> socket;
  /// What the poll set watches the socket for; 0: it does not.
  int poll_mode = 0;
  /// The socket that the poll set watches.
  std::optional<Poco::Net::StreamSocket> watched;

 private:
  void Connect();
  void Write();
  void Finish(HttpReply reply);
  /// Whether a whole response has come; takes it off the input. Throws
  /// Poco::Exception when it is malformed.
  bool TakeReply();

  const std::string address;
  std::deque<HttpCall> calls;
  bool connecting = false;
  /// The first call of the queue is being written or waits for its answer.
  bool busy = false;
  std::string output;
  std::size_t written = 0;
  std::string input;
  TimePoint sent_at;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_EXCHANGE_H_
