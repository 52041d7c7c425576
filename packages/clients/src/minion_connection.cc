#include "minion_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

#include "http.h"
#include "read_body.h"

namespace basilspread::clients {
namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

bool HasBody(const std::string& method, const HTTPResponse& response) {
  return method != HTTPRequest::HTTP_HEAD &&
         response.getStatus() != HTTPResponse::HTTP_NO_CONTENT &&
         response.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
}

}  // namespace

MinionConnection::MinionConnection(const std::string& minion_address,
                                   Duration timeout, const Now& clock_hook)
    : address(minion_address),
      socket(new DeadlineSocketImpl(clock_hook)),
      session(Poco::Net::StreamSocket(this->socket)) {
  this->session.socket().connect(Poco::Net::SocketAddress(minion_address),
                                 ToTimespan(timeout));
  this->session.socket().setNoDelay(true);
  this->session.setKeepAlive(true);
}

bool MinionConnection::IsIdle() {
  return this->session.connected() &&
         !this->session.socket().poll(Poco::Timespan(0),
                                      Poco::Net::Socket::SELECT_READ);
}

void MinionConnection::Write(const Payload& payload, TimePoint deadline) {
  this->reusable = false;
  this->method = payload.method;
  this->socket->SetDeadline(deadline);
  HTTPRequest request(payload.method, payload.target, HTTPMessage::HTTP_1_1);
  for (const Header& header : payload.headers) {
    request.set(header.name, header.value);
  }
  request.set(HTTPRequest::HOST, this->address);
  request.setContentLength(static_cast<std::streamsize>(payload.body.size()));
  this->session.sendRequest(request) << payload.body << std::flush;
}

PayloadPtr MinionConnection::Read(const OpenResponse& open_response) {
  HTTPResponse response;
  std::istream& in = this->session.receiveResponse(response);
  boost::intrusive_ptr<Payload> answer(new Payload);
  answer->body = ReadBody(in, this->socket->sockfd(), open_response);
  if (const Poco::Exception* exception = this->session.networkException()) {
    exception->rethrow();
  }
  const bool has_body = HasBody(this->method, response);
  if (has_body && response.hasContentLength() &&
      std::cmp_not_equal(answer->body.size(), response.getContentLength64())) {
    throw Poco::IOException("the answer ended before its Content-Length");
  }
  answer->status = response.getStatus();
  for (const auto& [name, value] : response) {
    answer->headers.push_back(Header{name, value});
  }
  const bool has_end = !has_body || response.hasContentLength() ||
                       response.getChunkedTransferEncoding();
  this->reusable = has_end && response.getKeepAlive();
  return answer;
}

}  // namespace basilspread::clients
