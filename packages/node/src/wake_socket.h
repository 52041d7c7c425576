#ifndef BASILSPREAD_NODE_WAKE_SOCKET_H_
#define BASILSPREAD_NODE_WAKE_SOCKET_H_

#include <Poco/Net/StreamSocket.h>

namespace basilspread::node {

/// Eventfd that wakes a thread waiting in a poll set.
class WakeSocket {
 public:
  /// Creates the eventfd. Throws Poco::Exception if that fails.
  void Open();
  /// May be called from any thread.
  void Wake();
  /// Resets the eventfd, so that it is no longer readable.
  void Clear();

  const Poco::Net::Socket& Get() const { return this->socket; }

 private:
  Poco::Net::StreamSocket socket;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_WAKE_SOCKET_H_
