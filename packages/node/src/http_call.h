#ifndef BASILSPREAD_NODE_HTTP_CALL_H_
#define BASILSPREAD_NODE_HTTP_CALL_H_

#include <functional>
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

/// Where a call that was not sent spent its time until the deadline.
enum class HttpDelay {
  /// It was not given up for time.
  kNone,
  /// In this process, behind other calls of its lane.
  kQueued,
  /// In this process: the loop came to it too late.
  kLoop,
  /// On the way: the server did not take the connection.
  kConnecting,
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  HttpDelay delay = HttpDelay::kNone;
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

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CALL_H_
