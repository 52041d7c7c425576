#ifndef BASILSPREAD_NODE_HTTP_MESSAGE_H_
#define BASILSPREAD_NODE_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "basilspread/core/error.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/result.h"

namespace basilspread::node {

/// The head of a caller's request. The payload has no body yet.
struct RequestHead {
  boost::intrusive_ptr<Payload> request;
  std::size_t body_bytes = 0;
  bool keep_alive = false;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Parses a request's head, up to and with the empty line.
/// Errors: kBadRequest.
Result<RequestHead> ParseHead(const std::string& text);

/// How a response is framed on its connection.
struct ResponseFraming {
  bool keep_alive = false;
  /// Set for an answer to HEAD, which carries no body.
  bool head_only = false;
};

/// The bytes of a response; headers that concern one connection only are
/// set anew.
std::string FormatResponse(const Payload& response,
                           const ResponseFraming& framing);

/// The response that tells a caller of an error, as JSON.
PayloadPtr MakeErrorResponse(ErrorKind kind, const std::string& detail);

/// A response with a JSON body.
PayloadPtr MakeJsonResponse(int status, std::string body);

/// The value of the first header with this name, in any case; else empty.
std::string_view HeaderOf(const Payload& payload, std::string_view name);

/// Whether a header concerns one connection only and is not passed on.
bool IsHopHeader(std::string_view name);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_MESSAGE_H_
