#include "listener.h"

#include <Poco/Net/SocketAddress.h>

namespace basilspread::node {

Poco::Net::ServerSocket Listen(const config::Endpoint& endpoint, int backlog) {
  const Poco::Net::SocketAddress address(endpoint.host, endpoint.port);
  Poco::Net::ServerSocket socket;
  // POCO's constructor sets SO_REUSEPORT, so that two processes with the same
  // address would each get some of the connections.
  constexpr bool kReuseAddress = true;
  constexpr bool kReusePort = false;
  socket.bind(address, kReuseAddress, kReusePort);
  socket.listen(backlog);
  return socket;
}

}  // namespace basilspread::node
