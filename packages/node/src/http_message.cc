#include "http_message.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <array>
#include <sstream>
#include <utility>

namespace basilspread::node {
namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::array<std::string_view, 8> kHopHeaders = {
    "connection", "content-length", "host",    "keep-alive",
    "te",         "trailer",        "upgrade", "transfer-encoding"};

Error Malformed(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

/// With several lengths, two servers could split a byte stream differently
/// (request smuggling), so they are rejected even if they agree.
bool HasSeveralLengths(const HTTPRequest& request) {
  int count = 0;
  for (const auto& [name, value] : request) {
    count += Poco::icompare(name, HTTPMessage::CONTENT_LENGTH) == 0 ? 1 : 0;
  }
  return count > 1;
}

/// The Content-Length of a request; 0 if it has none.
/// Errors: kBadRequest.
Result<std::size_t> BodyBytes(const HTTPRequest& request) {
  if (request.has(HTTPMessage::TRANSFER_ENCODING)) {
    return Malformed("state the body's length in Content-Length");
  }
  if (HasSeveralLengths(request)) {
    return Malformed("Content-Length is given twice");
  }
  if (!request.has(HTTPMessage::CONTENT_LENGTH)) {
    return std::size_t{0};
  }
  Poco::UInt64 length = 0;
  const std::string& text = request.get(HTTPMessage::CONTENT_LENGTH);
  const bool is_number = !text.empty() && text.front() != '+' &&
                         Poco::NumberParser::tryParseUnsigned64(text, length);
  if (!is_number) {
    return Malformed("Content-Length is not a number");
  }
  return static_cast<std::size_t>(length);
}

bool HasBody(int status) {
  return status >= HTTPResponse::HTTP_OK &&
         status != HTTPResponse::HTTP_NO_CONTENT &&
         status != HTTPResponse::HTTP_NOT_MODIFIED;
}

}  // namespace

Result<RequestHead> ParseHead(const std::string& text) {
  HTTPRequest parsed;
  try {
    std::istringstream in(text);
    parsed.read(in);
  } catch (const Poco::Exception&) {
    return Malformed("the request's head is malformed");
  }
  const bool is_known_version = parsed.getVersion() == HTTPMessage::HTTP_1_1 ||
                                parsed.getVersion() == HTTPMessage::HTTP_1_0;
  if (!is_known_version || parsed.getURI().empty()) {
    return Malformed("the request line is not of HTTP/1.1");
  }
  BOOST_OUTCOME_TRY(body_bytes, BodyBytes(parsed));
  RequestHead head;
  head.body_bytes = body_bytes;
  head.keep_alive = parsed.getKeepAlive();
  head.expects_continue = parsed.getExpectContinue();
  head.request = boost::intrusive_ptr<Payload>(new Payload);
  head.request->method = parsed.getMethod();
  head.request->target = parsed.getURI();
  for (const auto& [name, value] : parsed) {
    head.request->headers.push_back(Header{name, value});
  }
  return head;
}

std::string FormatResponse(const Payload& response,
                           const ResponseFraming& framing) {
  HTTPResponse head;
  head.setVersion(HTTPMessage::HTTP_1_1);
  head.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(response.status));
  for (const Header& header : response.headers) {
    if (!IsHopHeader(header.name)) {
      head.add(header.name, header.value);
    }
  }
  head.setKeepAlive(framing.keep_alive);
  if (HasBody(response.status)) {
    head.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
  }
  std::ostringstream out;
  head.write(out);
  std::string bytes = std::move(out).str();
  if (HasBody(response.status) && !framing.head_only) {
    bytes += response.body;
  }
  return bytes;
}

PayloadPtr MakeErrorResponse(ErrorKind kind, const std::string& detail) {
  const ErrorAnswer& answer = AnswerFor(kind);
  Poco::JSON::Object object;
  object.set("error", std::string(answer.name));
  object.set("execution", std::string(NameOf(answer.execution)));
  object.set("retryable", answer.retryable);
  object.set("message", std::string(answer.sentence));
  object.set("detail", detail);
  std::ostringstream body;
  object.stringify(body);
  boost::intrusive_ptr<Payload> response(new Payload);
  response->status = answer.http_status;
  response->headers = {
      Header{"Content-Type", "application/json"},
      Header{"X-Error", std::string(answer.name)},
      Header{"X-Execution", std::string(NameOf(answer.execution))}};
  response->body = std::move(body).str();
  return response;
}

PayloadPtr MakeJsonResponse(int status, std::string body) {
  boost::intrusive_ptr<Payload> response(new Payload);
  response->status = status;
  response->headers = {Header{"Content-Type", "application/json"}};
  response->body = std::move(body);
  return response;
}

std::string_view HeaderOf(const Payload& payload, std::string_view name) {
  for (const Header& header : payload.headers) {
    if (Poco::icompare(header.name, std::string(name)) == 0) {
      return header.value;
    }
  }
  return {};
}

bool IsHopHeader(std::string_view name) {
  const std::string lower = Poco::toLower(std::string(name));
  for (const std::string_view hop : kHopHeaders) {
    if (lower == hop) {
      return true;
    }
  }
  return false;
}

}  // namespace basilspread::node
