#ifndef BASILSPREAD_NODE_WAKE_SOCKET_H_
#define BASILSPREAD_NODE_WAKE_SOCKET_H_

#include <Poco/Net/StreamSocket.h>

namespace basilspread::node {

/// Wakes a thread out of its poll set, by an event descriptor.
class WakeSocket {
 public:
  /// Throws Poco::Exception when no descriptor can be had.
  void Open();
  /// May be called from any thread.
  void Wake();
  /// Takes what has woken the thread.
  void Take();

  const Poco::Net::Socket& Get() const { return this->socket; }

 private:
  Poco::Net::StreamSocket socket;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_WAKE_SOCKET_H_
