#include "http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace basilspread::platform {
namespace {

constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;

/// Whether a service that answered so may have carried the call out: one that
/// refuses says so with a 4xx or 503.
bool MayHaveRun(int status) {
  return status >= kFirstServerErrorStatus &&
         status != Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

Error MakeError(bool was_sent, const std::string& detail) {
  return Error{
      was_sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kLogUnavailable,
      detail};
}

}  // namespace

Result<std::string> Exchange(const HttpCall& call) {
  bool was_sent = false;
  try {
    Poco::Net::HTTPClientSession session(call.host, call.port);
    const Poco::Timespan timeout = ToTimespan(call.timeout);
    session.setTimeout(timeout, timeout, timeout);
    Poco::Net::HTTPRequest request(call.method, call.target,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    std::ostream& out = session.sendRequest(request);
    was_sent = true;
    out << call.body;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(in, body);
    if (response.getStatus() >= kFirstErrorStatus) {
      return MakeError(MayHaveRun(response.getStatus()), response.getReason());
    }
    return body;
  } catch (const Poco::Exception& exception) {
    return MakeError(was_sent, exception.displayText());
  }
}

}  // namespace basilspread::platform
