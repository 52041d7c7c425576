#ifndef BASILSPREAD_TESTS_SOAK_HOST_H_
#define BASILSPREAD_TESTS_SOAK_HOST_H_

#include <fmt/format.h>

#include <string>

#include "basilspread/core/time.h"

namespace soak {

using basilspread::Duration;
using basilspread::TimePoint;

/// The addresses of a host: its own, and what it calls the platform.
struct HostSettings {
  std::string name;
  std::string zone;
  /// IP address that it calls from.
  std::string source;
  std::string http;
  /// Where callers reach it through the proxy.
  std::string proxied;
  std::string peer;
  /// Where its peers reach it through the proxy.
  std::string proxied_peer;
  std::string admin;
  std::string ready;
  std::string store;
  std::string advisor;
};

/// What a check allows near it.
enum class Calm {
  /// No fault at all.
  kWhole,
  /// Nothing but an orderly stop of the process.
  kButStop,
};

inline std::string HostName(std::size_t host) {
  return fmt::format("host-{:03}", host);
}

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_HOST_H_
