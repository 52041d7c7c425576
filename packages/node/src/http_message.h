#ifndef BASILSPREAD_NODE_HTTP_MESSAGE_H_
#define BASILSPREAD_NODE_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "basilspread/core/error.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/result.h"

namespace basilspread::node {

/// Head of a request. The payload has no body yet.
struct RequestHead {
  boost::intrusive_ptr<Payload> request;
  std::size_t body_bytes = 0;
  bool keep_alive = false;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Parses a request head, including the empty line at its end.
/// Errors: kBadRequest.
Result<RequestHead> ParseHead(const std::string& text);

/// Options for the framing of a response on its connection.
struct ResponseFraming {
  bool keep_alive = false;
  /// Set for the response to a HEAD request, which has no body.
  bool head_only = false;
};

/// Serializes a response. Hop-by-hop headers are replaced by those of this
/// connection.
std::string FormatResponse(const Payload& response,
                           const ResponseFraming& framing);

/// An error response with a JSON body.
PayloadPtr MakeErrorResponse(ErrorKind kind, const std::string& detail);

/// A response with a JSON body.
PayloadPtr MakeJsonResponse(int status, std::string body);

/// The value of the first header with this name, compared without regard to
/// case; empty if there is none.
std::string_view HeaderOf(const Payload& payload, std::string_view name);

/// Whether a header is hop-by-hop and must not be forwarded.
bool IsHopHeader(std::string_view name);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_MESSAGE_H_
