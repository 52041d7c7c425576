#include "deadline_socket.h"

#include <Poco/Exception.h>

#include <utility>

#include "http.h"

namespace basilspread::clients {

DeadlineSocketImpl::DeadlineSocketImpl(Now clock_hook)
    : now(std::move(clock_hook)) {}

int DeadlineSocketImpl::sendBytes(const void* buffer, int length, int flags) {
  const auto* bytes = static_cast<const char*>(buffer);
  int sent = 0;
  while (sent < length) {
    this->setSendTimeout(this->TimeLeft());
    // StreamSocketImpl would loop with the full timeout for each partial write.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    sent += SocketImpl::sendBytes(bytes + sent, length - sent, flags);
  }
  return sent;
}

int DeadlineSocketImpl::receiveBytes(void* buffer, int length, int flags) {
  this->setReceiveTimeout(this->TimeLeft());
  return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

Poco::Timespan DeadlineSocketImpl::TimeLeft() const {
  const Duration left = this->deadline - this->now();
  // POCO takes a timeout of zero as no timeout.
  if (left < std::chrono::microseconds(1)) {
    throw Poco::TimeoutException("the deadline of the exchange has passed");
  }
  return ToTimespan(left);
}

}  // namespace basilspread::clients
