#include "liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace basilspread::node {

void DetectSilence(Poco::Net::StreamSocket& socket, Duration silence) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
  socket.setKeepAlive(true);
  // Seconds before the first probe, between probes, and probes without an
  // answer; the kernel takes no fractions.
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(milliseconds));
}

}  // namespace basilspread::node
