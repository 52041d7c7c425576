#include "wake_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace basilspread::node {

void WakeSocket::Open() {
  this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  this->socket.setBlocking(false);
}

void WakeSocket::Wake() {
  const char byte = 0;
  try {
    this->socket.sendTo(&byte, 1, this->socket.address());
  } catch (const Poco::Exception&) {
    // The socket's buffer is full: the thread is about to wake anyway.
  }
}

void WakeSocket::Take() {
  char buffer[64];
  Poco::Net::SocketAddress sender;
  this->socket.receiveFrom(buffer, sizeof(buffer), sender);
}

}  // namespace basilspread::node
