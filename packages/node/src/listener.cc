#include "listener.h"

#include <Poco/Net/SocketAddress.h>

namespace basilspread::node {

Poco::Net::ServerSocket Listen(const config::Endpoint& endpoint, int backlog) {
  const Poco::Net::SocketAddress address(endpoint.host, endpoint.port);
  Poco::Net::ServerSocket socket;
  // POCO's listening constructor sets SO_REUSEPORT, with which two processes
  // with the same address would each receive some of the connections.
  constexpr bool kReuseAddress = true;
  constexpr bool kReusePort = false;
  socket.bind(address, kReuseAddress, kReusePort);
  socket.listen(backlog);
  return socket;
}

}  // namespace basilspread::node
