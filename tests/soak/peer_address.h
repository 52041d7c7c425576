#ifndef BASILSPREAD_TESTS_SOAK_PEER_ADDRESS_H_
#define BASILSPREAD_TESTS_SOAK_PEER_ADDRESS_H_

#include <cstdint>

namespace soak {

/// Processes accept their peers at 127.N.1.H, and their links lead through the
/// proxy at 127.N.5.H, at one port.
inline constexpr std::uint16_t kPeerPort = 8082;
inline constexpr int kHostPart = 1;
inline constexpr int kProxiedPeerPart = 5;

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_PEER_ADDRESS_H_
