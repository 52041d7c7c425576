#ifndef BASILSPREAD_PLATFORM_HOST_LIST_CLIENT_H_
#define BASILSPREAD_PLATFORM_HOST_LIST_CLIENT_H_

#include <cstdint>
#include <string>

#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::platform {

/// The platform's host list over HTTP, see docs/PLATFORM.md.
class HostListClient {
 public:
  HostListClient(std::string list_host, std::uint16_t list_port,
                 Duration timeout);

  HostsListed List() const;

 private:
  std::string host;
  std::uint16_t port;
  Duration call_timeout;
};

}  // namespace basilspread::platform

#endif  // BASILSPREAD_PLATFORM_HOST_LIST_CLIENT_H_
