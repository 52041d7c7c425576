#ifndef BASILSPREAD_NODE_HTTP_CALL_H_
#define BASILSPREAD_NODE_HTTP_CALL_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "basilspread/core/payload.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// Maximum size of a response, about ten pages of a list. Without a limit, a
/// response could grow in memory until the deadline of its call.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{16} << 20U;

enum class HttpOutcome {
  kAnswered,
  /// No byte of the request left this process.
  kNotSent,
  /// The request may have arrived, but no complete response was received.
  kLost,
};

/// Where a call that missed its deadline unsent spent its time.
enum class HttpDelay {
  /// The call did not miss its deadline unsent.
  kNone,
  /// In this process, queued behind other calls of its lane.
  kQueued,
  /// In this process: the client loop was late.
  kLoop,
  /// On the network: the connection was not established in time.
  kConnecting,
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  HttpDelay delay = HttpDelay::kNone;
  int status = 0;
  std::string body;
  /// Why there is no response; empty if there is one.
  std::string reason;
  /// Time at which the first bytes of the request were written.
  TimePoint sent_at;
};

struct HttpCall {
  /// IP number and port.
  std::string address;
  /// Calls of one lane to one address are sent one after another, in order.
  std::string lane;
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /// Time at which the call fails if it has no response.
  TimePoint deadline;
  /// Limit of head-of-line blocking: if the call has no response after this
  /// time, the calls queued behind it move to another connection. Zero disables
  /// this.
  Duration slow_after{};
  /// Limit of the response. A larger one counts as lost.
  std::size_t max_reply_bytes = kMaxReplyBytes;
  std::function<void(HttpReply)> done;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CALL_H_
