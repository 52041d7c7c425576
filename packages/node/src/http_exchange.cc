#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <utility>

#include "liveness.h"
#include "send_some.h"

namespace basilspread::node {
namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t kReceiveBytes = std::size_t{32} << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// A server that confirms no byte for this long is cut off, or the connection
/// has been lost track of.
constexpr Duration kSilence = std::chrono::milliseconds(2500);

std::string FormatRequest(const HttpCall& call) {
  HTTPRequest head(call.method, call.target, HTTPMessage::HTTP_1_1);
  head.setHost(call.address);
  head.setKeepAlive(true);
  for (const Header& header : call.headers) {
    // A call may name another host than its address.
    head.set(header.name, header.value);
  }
  if (!call.body.empty() || call.method == HTTPRequest::HTTP_POST) {
    head.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  }
  std::ostringstream out;
  head.write(out);
  return std::move(out).str() + call.body;
}

}  // namespace

HttpExchange::HttpExchange(std::string server_address)
    : address(std::move(server_address)) {}

void HttpExchange::Advance() {
  if (this->busy || this->calls.empty()) {
    return;
  }
  if (!this->socket) {
    this->Connect();
    return;
  }
  if (this->connecting) {
    return;
  }
  this->busy = true;
  this->output = FormatRequest(this->calls.front());
  this->written = 0;
  this->input.clear();
  this->Write();
}

void HttpExchange::Connect() {
  try {
    Poco::Net::StreamSocket opened;
    opened.connectNB(Poco::Net::SocketAddress(this->address));
    this->socket = opened;
    this->connecting = true;
  } catch (const Poco::Exception& exception) {
    this->Fail(exception.displayText());
  }
}

void HttpExchange::OnWritable() {
  if (!this->connecting) {
    this->Write();
    return;
  }
  if (this->socket->impl()->socketError() != 0) {
    this->Fail("the connection was refused");
    return;
  }
  this->connecting = false;
  this->socket->setBlocking(false);
  this->socket->setNoDelay(true);
  DetectSilence(*this->socket, kSilence);
  this->Advance();
}

void HttpExchange::Write() {
  try {
    while (this->written < this->output.size()) {
      const std::size_t count =
          SendSome(*this->socket, this->output, this->written);
      if (count == 0) {
        return;
      }
      if (this->written == 0) {
        this->sent_at = std::chrono::steady_clock::now();
      }
      this->written += count;
    }
  } catch (const Poco::Exception& exception) {
    this->Fail(exception.displayText());
  }
}

void HttpExchange::OnReadable() {
  try {
    std::array<char, kReceiveBytes> buffer;
    const int count = this->socket->receiveBytes(
        buffer.data(), static_cast<int>(buffer.size()));
    if (count < 0) {
      return;
    }
    if (count == 0 || !this->busy) {
      this->Fail(count == 0 ? "the server closed the connection"
                            : "the server sent what nobody asked for");
      return;
    }
    this->input.append(buffer.data(), static_cast<std::size_t>(count));
    if (this->TakeReply()) {
      this->Advance();
    }
  } catch (const Poco::Exception& exception) {
    this->Fail(exception.displayText());
  }
}

bool HttpExchange::TakeReply() {
  const std::size_t end = this->input.find(kHeadEnd);
  if (end == std::string::npos) {
    return false;
  }
  const std::size_t head_bytes = end + kHeadEnd.size();
  std::istringstream in(this->input.substr(0, head_bytes));
  HTTPResponse head;
  head.read(in);
  if (!head.hasContentLength()) {
    throw Poco::Net::MessageException("the response states no length");
  }
  const auto body_bytes = static_cast<std::size_t>(head.getContentLength64());
  if (this->input.size() < head_bytes + body_bytes) {
    return false;
  }
  HttpReply reply;
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = head.getStatus();
  reply.body = this->input.substr(head_bytes, body_bytes);
  reply.sent_at = this->sent_at;
  if (!head.getKeepAlive()) {
    this->socket.reset();
  }
  this->Finish(std::move(reply));
  return true;
}

void HttpExchange::Finish(HttpReply reply) {
  const HttpCall call = std::move(this->calls.front());
  this->calls.pop_front();
  this->busy = false;
  this->output.clear();
  this->written = 0;
  this->input.clear();
  call.done(std::move(reply));
}

void HttpExchange::Fail(const std::string& reason) {
  const bool is_idle = !this->busy && !this->connecting && this->socket;
  const bool has_written = this->busy && this->written > 0;
  this->socket.reset();
  this->connecting = false;
  if (is_idle || this->calls.empty()) {
    // The server closed a connection without a call on it.
    this->busy = false;
    this->Advance();
    return;
  }
  HttpReply reply;
  reply.outcome = has_written ? HttpOutcome::kLost : HttpOutcome::kNotSent;
  reply.reason = reason;
  reply.sent_at = this->sent_at;
  this->Finish(std::move(reply));
  this->Advance();
}

void HttpExchange::Expire(TimePoint now) {
  const bool is_first_overdue =
      !this->calls.empty() && this->calls.front().deadline <= now;
  std::vector<HttpCall> overdue;
  for (auto call = this->calls.begin(); call != this->calls.end();) {
    const bool is_first = call == this->calls.begin();
    if (!is_first && call->deadline <= now) {
      overdue.push_back(std::move(*call));
      call = this->calls.erase(call);
    } else {
      ++call;
    }
  }
  for (const HttpCall& call : overdue) {
    HttpReply reply;
    reply.outcome = HttpOutcome::kNotSent;
    call.done(std::move(reply));
  }
  if (is_first_overdue) {
    this->Fail("no answer came in time");
  }
}

std::optional<TimePoint> HttpExchange::OvertakeAt() const {
  const bool has_waiting = this->written > 0 && this->calls.size() > 1;
  if (!has_waiting || this->calls.front().slow_after == Duration::zero()) {
    return std::nullopt;
  }
  return this->sent_at + this->calls.front().slow_after;
}

std::deque<HttpCall> HttpExchange::TakeWaiting() {
  std::deque<HttpCall> waiting(std::make_move_iterator(this->calls.begin() + 1),
                               std::make_move_iterator(this->calls.end()));
  this->calls.erase(this->calls.begin() + 1, this->calls.end());
  return waiting;
}

std::optional<TimePoint> HttpExchange::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const HttpCall& call : this->calls) {
    next = next ? std::min(*next, call.deadline) : call.deadline;
  }
  return next;
}

}  // namespace basilspread::node
