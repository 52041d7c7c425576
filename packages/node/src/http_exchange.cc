#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <exception>
#include <string_view>
#include <utility>

#include "http_head.h"
#include "line_log.h"
#include "liveness.h"
#include "send_some.h"
#include "shutdown_hook.h"

namespace basilspread::node {
namespace {

constexpr std::size_t kReceiveBytes = std::size_t{32} << 10U;
/// HttpConnection has the same limit for the heads of requests.
constexpr std::size_t kMaxHeadBytes = std::size_t{16} << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Time without TCP acknowledgement after which the connection is considered
/// dead: the server is unreachable or no longer knows the connection.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(2500);
constexpr std::string_view kPart = "http-client";

/// Passes the reply on; false if processing it failed.
bool TryDeliver(const HttpCall& call, HttpReply reply) {
  try {
    call.done(std::move(reply));
    return true;
  } catch (const std::exception& exception) {
    Log(LogLevel::kError, kPart, "Processing a reply failed unexpectedly.",
        {{"address", call.address},
         {"target", call.target},
         {"reason", exception.what()}});
    return false;
  }
}

/// Passes the reply on. A response that cannot be processed counts as lost.
void Deliver(const HttpCall& call, HttpReply reply) {
  const bool was_answered = reply.outcome == HttpOutcome::kAnswered;
  const TimePoint sent_at = reply.sent_at;
  if (TryDeliver(call, std::move(reply)) || !was_answered) {
    return;
  }
  HttpReply lost;
  lost.outcome = HttpOutcome::kLost;
  lost.reason = "the response could not be processed";
  lost.sent_at = sent_at;
  TryDeliver(call, std::move(lost));
}

}  // namespace

HttpExchange::HttpExchange(Lane its_lane, ConnectionBudgetPtr connection_budget)
    : lane(std::move(its_lane)), budget(std::move(connection_budget)) {}

void HttpExchange::Advance() {
  const bool may_begin =
      !this->busy && !this->connecting && !this->calls.IsEmpty();
  if (!may_begin ||
      this->calls.Front().deadline <= std::chrono::steady_clock::now()) {
    return;
  }
  if (!this->socket) {
    this->Connect();
    return;
  }
  this->busy = true;
  this->output = FormatRequest(this->calls.Front());
  this->written = 0;
  this->ClearInput();
  this->Write();
}

void HttpExchange::Connect() {
  try {
    Poco::Net::StreamSocket opened;
    opened.connectNB(Poco::Net::SocketAddress(this->lane.first));
    this->socket = opened;
    this->account.emplace(this->budget, ConnectionPort::kOutgoing,
                          ShutdownOf(opened.impl()->sockfd()));
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
    this->Fail("the connection could not be established");
    return;
  }
  this->connecting = false;
  this->socket->setBlocking(false);
  this->socket->setNoDelay(true);
  EnableDeadPeerDetection(*this->socket, kPeerTimeout);
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
                            : "the server sent bytes without a request");
      return;
    }
    if (this->input.empty()) {
      this->account->Use(ConnectionUse::kReceiving,
                         std::chrono::steady_clock::now());
    }
    this->Reserve(static_cast<std::size_t>(count));
    this->input.append(buffer.data(), static_cast<std::size_t>(count));
    if (!this->account->Hold(this->input.capacity(),
                             std::chrono::steady_clock::now())) {
      this->Fail("the response exceeds the memory of all connections");
    } else if (this->TakeReply()) {
      this->Advance();
    } else if (this->input.size() > this->MaxReplyBytes()) {
      this->budget->Report(ConnectionLimit::kMessage);
      this->Fail("the response exceeds its limit");
    }
  } catch (const Poco::Exception& exception) {
    this->Fail(exception.displayText());
  }
}

bool HttpExchange::TakeHead() {
  const std::size_t end = this->input.find(kHeadEnd);
  if (end == std::string::npos) {
    if (this->input.size() > kMaxHeadBytes) {
      throw Poco::Net::MessageException(
          "the response head exceeds the limit of 16 KiB");
    }
    return false;
  }
  this->head_bytes = end + kHeadEnd.size();
  const std::string_view received = this->input;
  const auto parsed = ParseResponseHead(received.substr(0, this->head_bytes));
  if (!parsed) {
    throw Poco::Net::MessageException(parsed.error().detail);
  }
  if (parsed.value().body_bytes > this->MaxReplyBytes()) {
    this->budget->Report(ConnectionLimit::kMessage);
    throw Poco::Net::MessageException("the response exceeds its limit");
  }
  this->head = parsed.value();
  return true;
}

bool HttpExchange::TakeReply() {
  if (!this->head && !this->TakeHead()) {
    return false;
  }
  const std::size_t bytes = this->head_bytes + this->head->body_bytes;
  if (this->input.size() < bytes) {
    return false;
  }
  HttpReply reply;
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = this->head->status;
  reply.sent_at = this->sent_at;
  const bool is_in_sync =
      this->input.size() == bytes && this->written == this->output.size();
  // The body is moved, since a copy of a large one would double its memory.
  this->input.resize(bytes);
  this->input.erase(0, this->head_bytes);
  reply.body = std::exchange(this->input, std::string());
  if (!this->head->keep_alive || !is_in_sync) {
    this->Disconnect();
  }
  this->Finish(std::move(reply));
  return true;
}

void HttpExchange::ClearInput() {
  std::string().swap(this->input);
  this->head.reset();
  if (this->account) {
    const TimePoint now = std::chrono::steady_clock::now();
    this->account->Hold(0, now);
    this->account->Use(ConnectionUse::kIdle, now);
  }
}

void HttpExchange::Reserve(std::size_t count) {
  const std::size_t needed = this->input.size() + count;
  if (needed <= this->input.capacity()) {
    return;
  }
  // The buffer doubles, but not beyond the announced response.
  std::size_t room = std::max(needed, 2 * this->input.capacity());
  if (this->head) {
    room = std::min(
        room, std::max(needed, this->head_bytes + this->head->body_bytes));
  }
  this->input.reserve(room);
}

std::size_t HttpExchange::MaxReplyBytes() const {
  return this->calls.Front().max_reply_bytes;
}

void HttpExchange::Disconnect() {
  this->account.reset();
  this->socket.reset();
}

void HttpExchange::Finish(HttpReply reply) {
  const HttpCall call = this->calls.TakeFront();
  this->busy = false;
  this->output.clear();
  this->written = 0;
  this->ClearInput();
  Deliver(call, std::move(reply));
}

void HttpExchange::Fail(const std::string& reason, HttpDelay delay) {
  const bool is_idle = !this->busy && !this->connecting && this->socket;
  const bool has_written = this->busy && this->written > 0;
  this->Disconnect();
  this->connecting = false;
  if (is_idle || this->calls.IsEmpty()) {
    // No call was in progress on the connection, so none fails.
    this->busy = false;
    this->Advance();
    return;
  }
  HttpReply reply;
  reply.outcome = has_written ? HttpOutcome::kLost : HttpOutcome::kNotSent;
  reply.delay = has_written ? HttpDelay::kNone : delay;
  reply.reason = reason;
  reply.sent_at = this->sent_at;
  this->Finish(std::move(reply));
  this->Advance();
}

void HttpExchange::Expire(TimePoint now) {
  const bool has_begun = this->busy || this->connecting;
  const bool is_first_overdue = has_begun && !this->calls.IsEmpty() &&
                                this->calls.Front().deadline <= now;
  // With no call in progress, the loop was late: it would have started the call
  // otherwise.
  HttpDelay delay = has_begun ? HttpDelay::kQueued : HttpDelay::kLoop;
  delay = this->connecting ? HttpDelay::kConnecting : delay;
  for (const HttpCall& call : this->calls.TakeOverdue(now, has_begun)) {
    HttpReply reply;
    reply.outcome = HttpOutcome::kNotSent;
    reply.delay = delay;
    reply.reason = "the request was not sent before its deadline";
    Deliver(call, std::move(reply));
  }
  if (is_first_overdue) {
    this->Fail("no response was received before the deadline",
               HttpDelay::kConnecting);
  } else {
    this->Advance();
  }
}

std::optional<TimePoint> HttpExchange::OvertakeAt() const {
  const bool has_waiting = this->written > 0 && this->calls.HasWaiting();
  if (!has_waiting || this->calls.Front().slow_after == Duration::zero()) {
    return std::nullopt;
  }
  return this->sent_at + this->calls.Front().slow_after;
}

std::optional<TimePoint> HttpExchange::NextTime() const {
  const auto deadline = this->calls.EarliestDeadline();
  const auto overtake_at = this->OvertakeAt();
  return overtake_at ? std::min(*deadline, *overtake_at) : deadline;
}

}  // namespace basilspread::node
