#include "http_call.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace basilspread::ctl {

Result<HttpAnswer> Call(const config::Endpoint& endpoint,
                        const std::string& method, const std::string& target,
                        const std::string& body, Duration timeout) {
  try {
    Poco::Net::HTTPClientSession session(endpoint.host, endpoint.port);
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    session.setTimeout(Poco::Timespan(micros.count()));
    Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    HttpAnswer answer;
    Poco::StreamCopier::copyToString(in, answer.body);
    answer.status = response.getStatus();
    return answer;
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kOwnerUnreachable,
                 endpoint.ToString() + ": " + exception.displayText()};
  }
}

}  // namespace basilspread::ctl
