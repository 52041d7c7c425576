// Preloaded into a process under test: its links to peers lead through the
// proxy, while the settings state where the peer listens. All its connections
// come from its own address, by which the proxy tells the processes apart.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>

#include "soak/peer_address.h"

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

constexpr unsigned kPartShift = 8;
constexpr in_addr_t kPartMask = in_addr_t{0xff} << kPartShift;

bool IsPeer(const sockaddr_in& address) {
  return address.sin_family == AF_INET &&
         ntohs(address.sin_port) == soak::kPeerPort &&
         (ntohl(address.sin_addr.s_addr) & kPartMask) ==
             in_addr_t{soak::kHostPart} << kPartShift;
}

/// A dead process refuses connections, which its peers act upon; the proxy
/// would take them.
bool IsRefused(Connect next, const sockaddr_in& address) {
  const int probe =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int status =
      next(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const bool is_refused = status != 0 && errno == ECONNREFUSED;
  close(probe);
  return is_refused;
}

/// False with `errno` set. Leaves a socket alone that has an address already.
bool BindToSource(int socket) {
  static const char* const kSource = std::getenv("SOAK_SOURCE");
  sockaddr_in source{};
  source.sin_family = AF_INET;
  if (kSource == nullptr ||
      inet_pton(AF_INET, kSource, &source.sin_addr) != 1) {
    return true;
  }
  // The port is chosen for the connection, not for the address alone.
  const int is_on = 1;
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &is_on,
             sizeof(is_on));
  return bind(socket, reinterpret_cast<const sockaddr*>(&source),
              sizeof(source)) == 0 ||
         errno == EINVAL;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  static const auto kNext =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  sockaddr_in peer{};
  if (length != sizeof(peer)) {
    return kNext(socket, address, length);
  }
  std::memcpy(&peer, address, sizeof(peer));
  if (peer.sin_family == AF_INET && !BindToSource(socket)) {
    return -1;
  }
  if (!IsPeer(peer)) {
    return kNext(socket, address, length);
  }
  if (IsRefused(kNext, peer)) {
    errno = ECONNREFUSED;
    return -1;
  }
  const in_addr_t others = ntohl(peer.sin_addr.s_addr) & ~kPartMask;
  peer.sin_addr.s_addr =
      htonl(others | in_addr_t{soak::kProxiedPeerPart} << kPartShift);
  return kNext(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
}
