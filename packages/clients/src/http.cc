#include "http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <utility>

#include "deadline_socket.h"
#include "read_body.h"

namespace basilspread::clients {
namespace {

constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;

/// Whether the service may have executed a call that it answered with this
/// status. Refused calls are answered with 4xx or 503.
bool MayHaveExecuted(int status) {
  return status >= kFirstServerErrorStatus &&
         status != Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}
constexpr const char* kKnownVersionHeader = "If-None-Match";
constexpr const char* kVersionHeader = "ETag";

Error MakeError(bool was_sent, const std::string& detail) {
  return Error{
      was_sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kLogUnavailable,
      detail};
}

}  // namespace

Result<HttpAnswer> Send(const HttpCall& call) {
  bool was_sent = false;
  try {
    // Owned by the session's socket. With a timeout for each read only, a
    // service that sends slowly could extend the call without limit.
    auto* const socket =
        new DeadlineSocketImpl([] { return std::chrono::steady_clock::now(); });
    Poco::Net::HTTPClientSession session{Poco::Net::StreamSocket(socket)};
    const Poco::Net::SocketAddress address(call.host, call.port);
    const TimePoint deadline = std::chrono::steady_clock::now() + call.timeout;
    session.socket().connect(address, ToTimespan(call.timeout));
    socket->SetDeadline(deadline);
    Poco::Net::HTTPRequest request(call.method, call.target,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.set(Poco::Net::HTTPRequest::HOST, address.toString());
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    if (!call.known_version.empty()) {
      request.set(kKnownVersionHeader, call.known_version);
    }
    std::ostream& out = session.sendRequest(request);
    was_sent = true;
    out << call.body;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    HttpAnswer answer;
    answer.body = ReadBody(in, socket->sockfd(), call.open_response);
    answer.status = response.getStatus();
    answer.version = response.get(kVersionHeader, "");
    if (answer.status >= kFirstErrorStatus && answer.status != kNotModified) {
      return MakeError(MayHaveExecuted(answer.status), response.getReason());
    }
    return answer;
  } catch (const Poco::Exception& exception) {
    return MakeError(was_sent, exception.displayText());
  }
}

Result<std::string> Exchange(const HttpCall& call) {
  BOOST_OUTCOME_TRY(answer, Send(call));
  return std::move(answer.body);
}

}  // namespace basilspread::clients
