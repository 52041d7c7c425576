#ifndef BASILSPREAD_CORE_HOST_H_
#define BASILSPREAD_CORE_HOST_H_

#include <cstdint>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"

namespace basilspread {

/// A worker or minion as the platform's host list describes it.
struct Host {
  HostName name;
  /// IP number and port, "127.0.0.1:9000".
  std::string address;
  /// Label by which the pool table selects hosts.
  std::string group;
  ZoneName zone;
  std::string rack;
  /// Set once the platform has announced the removal of the host.
  bool leaving = false;
  /// Workers only.
  Resources capacity;
  /// Minions only: number of requests that it runs at once.
  std::uint32_t slots = 0;
  /// Minions only: number of connections that it accepts.
  std::uint32_t connections = 0;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_HOST_H_
