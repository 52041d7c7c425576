#include "wake_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/eventfd.h>

#include <cerrno>

namespace basilspread::node {
namespace {

/// Owns a descriptor of any kind, so that a poll set can watch it.
class DescriptorSocket : public Poco::Net::StreamSocket {
 public:
  explicit DescriptorSocket(int descriptor)
      : StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)) {}
};

}  // namespace

void WakeSocket::Open() {
  const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor < 0) {
    throw Poco::SystemException("no event descriptor", errno);
  }
  this->socket = DescriptorSocket(descriptor);
}

void WakeSocket::Wake() {
  // Fails only where the count is full: the thread is about to wake anyway.
  eventfd_write(this->socket.impl()->sockfd(), 1);
}

void WakeSocket::Take() {
  eventfd_t count = 0;
  // Fails where nothing has woken the thread.
  eventfd_read(this->socket.impl()->sockfd(), &count);
}

}  // namespace basilspread::node
