#include "liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace basilspread::node {

void EnableDeadPeerDetection(Poco::Net::StreamSocket& socket,
                             Duration timeout) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  socket.setKeepAlive(true);
  // Idle seconds before the first probe, seconds between probes, and number of
  // unanswered probes. The kernel accepts whole seconds only.
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(milliseconds));
}

}  // namespace basilspread::node
