#include "basilspread/platform/minion_client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <utility>

#include "http.h"

namespace basilspread::platform {
namespace {

using Poco::Net::HTTPClientSession;

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

PayloadPtr ReceiveAnswer(HTTPClientSession& session) {
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  boost::intrusive_ptr<Payload> answer(new Payload);
  Poco::StreamCopier::copyToString(in, answer->body);
  answer->status = response.getStatus();
  for (const auto& [name, value] : response) {
    answer->headers.push_back(Header{name, value});
  }
  return answer;
}

void WriteRequest(HTTPClientSession& session, const Payload& payload) {
  Poco::Net::HTTPRequest request(payload.method, payload.target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  for (const Header& header : payload.headers) {
    request.set(header.name, header.value);
  }
  request.setContentLength(static_cast<std::streamsize>(payload.body.size()));
  session.sendRequest(request) << payload.body;
}

}  // namespace

MinionClient::MinionClient(Now clock_hook) : now(std::move(clock_hook)) {}

MinionAnswered MinionClient::Send(const SendToMinion& send) const {
  MinionAnswered answered;
  answered.request = send.request;
  answered.attempt = send.attempt;
  answered.host = send.host;
  answered.result = MinionResult::kNotSent;
  try {
    const Poco::Net::SocketAddress address(send.address);
    HTTPClientSession session(address);
    const TimePoint start = this->now();
    if (start >= send.not_after) {
      return answered;
    }
    const Poco::Timespan timeout = ToTimespan(send.deadline - start);
    session.setTimeout(ToTimespan(kConnectTimeout), timeout, timeout);
    answered.result = MinionResult::kLost;
    WriteRequest(session, *send.payload);
    answered.payload = ReceiveAnswer(session);
    answered.result = MinionResult::kAnswered;
    answered.run_time = this->now() - start;
  } catch (const Poco::Net::ConnectionRefusedException&) {
    answered.result = MinionResult::kRefused;
  } catch (const Poco::Exception&) {
    answered.payload = nullptr;
  }
  return answered;
}

}  // namespace basilspread::platform
