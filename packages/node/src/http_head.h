#ifndef BASILSPREAD_NODE_HTTP_HEAD_H_
#define BASILSPREAD_NODE_HTTP_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "basilspread/core/result.h"
#include "http_call.h"

namespace basilspread::node {

/// The bytes of a call's request (RFC 9112), its body included.
std::string FormatRequest(const HttpCall& call);

/// What a client needs of a response's head.
struct ResponseHead {
  int status = 0;
  std::size_t body_bytes = 0;
  bool keep_alive = false;
};

/// Parses a response's head, up to and with the empty line. Accepts final
/// responses of HTTP/1.0 and 1.1 that state their length in bytes.
/// Errors: kProtocolMismatch, with what is wrong.
Result<ResponseHead> ParseResponseHead(std::string_view text);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_HEAD_H_
