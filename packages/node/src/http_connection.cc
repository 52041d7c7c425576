#include "http_connection.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "send_some.h"
#include "shutdown_hook.h"

namespace basilspread::node {
namespace {

constexpr std::size_t kReceiveBytes = std::size_t{16} << 10U;
constexpr std::size_t kMaxHeadBytes = std::size_t{16} << 10U;
/// Larger buffers are freed once they are empty.
constexpr std::size_t kKeptBytes = std::size_t{16} << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Error TooLarge(std::string detail) {
  return Error{ErrorKind::kTooLarge, std::move(detail)};
}

}  // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& caller_socket,
                               const ConnectionBudgetPtr& budget,
                               ConnectionPort port)
    : socket(caller_socket),
      account(budget, port, ShutdownOf(caller_socket.impl()->sockfd())) {
  this->socket.setBlocking(false);
  this->socket.setNoDelay(true);
}

bool HttpConnection::Receive() {
  std::array<char, kReceiveBytes> buffer;
  const int count =
      this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  if (count == 0) {
    return false;
  }
  if (count > 0) {
    this->Reserve(static_cast<std::size_t>(count));
    this->input.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return true;
}

void HttpConnection::Reserve(std::size_t count) {
  const std::size_t needed = this->input.size() + count;
  if (needed <= this->input.capacity()) {
    return;
  }
  // The buffer doubles, but not beyond an announced body: its unused half
  // would count as held.
  std::size_t room = std::max(needed, 2 * this->input.capacity());
  if (this->head) {
    room = std::min(room, std::max(needed, this->head->body_bytes));
  }
  this->input.reserve(room);
}

bool HttpConnection::Hold(TimePoint now) {
  return this->account.Hold(
      this->input.capacity() + this->output.capacity() + this->request_bytes,
      now);
}

Result<bool> HttpConnection::TakeHead(std::size_t max_body_bytes) {
  const std::size_t end = this->input.find(kHeadEnd);
  if (end == std::string::npos && this->input.size() <= kMaxHeadBytes) {
    return false;
  }
  if (end == std::string::npos || end > kMaxHeadBytes) {
    return TooLarge("the request's head exceeds 16 KiB");
  }
  const std::size_t head_bytes = end + kHeadEnd.size();
  BOOST_OUTCOME_TRY(parsed, ParseHead(this->input.substr(0, head_bytes)));
  if (parsed.body_bytes > max_body_bytes) {
    return TooLarge("the body exceeds its limit");
  }
  this->input.erase(0, head_bytes);
  if (parsed.expects_continue) {
    this->output += kContinue;
  }
  this->head = std::move(parsed);
  return true;
}

Result<std::optional<PayloadPtr>> HttpConnection::TakeRequest(
    std::size_t max_body_bytes) {
  const std::optional<PayloadPtr> incomplete;
  if (!this->head) {
    BOOST_OUTCOME_TRY(has_head, this->TakeHead(max_body_bytes));
    if (!has_head) {
      return incomplete;
    }
  }
  if (this->input.size() < this->head->body_bytes) {
    return incomplete;
  }
  const boost::intrusive_ptr<Payload> request = this->head->request;
  if (this->input.size() == this->head->body_bytes) {
    request->body = std::exchange(this->input, std::string());
  } else {
    request->body = this->input.substr(0, this->head->body_bytes);
    this->input.erase(0, this->head->body_bytes);
  }
  this->request_bytes = request->body.size();
  this->keep_alive = this->head->keep_alive;
  this->head_only = request->method == "HEAD";
  this->head.reset();
  return std::optional<PayloadPtr>(request);
}

void HttpConnection::Answer(const Payload& response, bool may_keep_alive) {
  this->keep_alive = this->keep_alive && may_keep_alive;
  this->request_bytes = 0;
  this->output += FormatResponse(response, {this->keep_alive, this->head_only});
}

bool HttpConnection::Flush() {
  while (this->HasOutput()) {
    const std::size_t count =
        SendSome(this->socket, this->output, this->written);
    if (count == 0) {
      return false;
    }
    this->written += count;
  }
  if (this->output.capacity() > kKeptBytes) {
    std::string().swap(this->output);
  }
  this->output.clear();
  this->written = 0;
  return true;
}

}  // namespace basilspread::node
