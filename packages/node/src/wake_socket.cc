#include "wake_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/eventfd.h>

#include <cerrno>

namespace basilspread::node {
namespace {

/// Wraps a descriptor of any kind, so that a PollSet can watch it.
class DescriptorSocket : public Poco::Net::StreamSocket {
 public:
  explicit DescriptorSocket(int descriptor)
      : StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)) {}
};

}  // namespace

void WakeSocket::Open() {
  const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor < 0) {
    throw Poco::SystemException("creating an eventfd failed", errno);
  }
  this->socket = DescriptorSocket(descriptor);
}

void WakeSocket::Wake() {
  // Fails only if the counter is at its maximum; the thread wakes anyway then.
  eventfd_write(this->socket.impl()->sockfd(), 1);
}

void WakeSocket::Clear() {
  eventfd_t count = 0;
  // Fails if the counter is zero, which is harmless.
  eventfd_read(this->socket.impl()->sockfd(), &count);
}

}  // namespace basilspread::node
