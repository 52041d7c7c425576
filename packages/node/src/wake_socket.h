#ifndef BASILSPREAD_NODE_WAKE_SOCKET_H_
#define BASILSPREAD_NODE_WAKE_SOCKET_H_

#include <Poco/Net/DatagramSocket.h>

namespace basilspread::node {

/// Wakes a thread out of its poll set, by a datagram to itself.
class WakeSocket {
 public:
  /// Throws Poco::Exception when no port can be had.
  void Open();
  /// May be called from any thread.
  void Wake();
  /// Takes the datagrams that have come.
  void Take();

  const Poco::Net::Socket& Get() const { return this->socket; }

 private:
  Poco::Net::DatagramSocket socket;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_WAKE_SOCKET_H_
