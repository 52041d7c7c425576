#include "support/http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace test {

Response Call(std::uint16_t port, const std::string& method,
              const std::string& target, const std::string& body,
              const Headers& headers, std::chrono::milliseconds timeout) {
  Response result;
  try {
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    session.setTimeout(Poco::Timespan(timeout.count() * 1000));
    Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
    for (const auto& [name, value] : headers) {
      request.set(name, value);
    }
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(in, result.body);
    for (const auto& [name, value] : response) {
      result.headers[name] = value;
    }
    result.status = response.getStatus();
  } catch (const Poco::Exception&) {
    result.status = 0;
  }
  return result;
}

}  // namespace test
