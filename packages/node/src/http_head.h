#ifndef BASILSPREAD_NODE_HTTP_HEAD_H_
#define BASILSPREAD_NODE_HTTP_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "basilspread/core/result.h"
#include "http_call.h"

namespace basilspread::node {

/// Serializes the request of a call (RFC 9112), including the body.
std::string FormatRequest(const HttpCall& call);

/// The parts of a response head that the client uses.
struct ResponseHead {
  int status = 0;
  std::size_t body_bytes = 0;
  bool keep_alive = false;
};

/// Parses a response head, including the empty line at its end. Accepts final
/// responses of HTTP/1.0 and 1.1 with a Content-Length.
/// Errors: kProtocolMismatch.
Result<ResponseHead> ParseResponseHead(std::string_view text);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_HEAD_H_
