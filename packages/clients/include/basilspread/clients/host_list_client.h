#ifndef BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_
#define BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::clients {

/// The platform's host list over HTTP, see docs/PLATFORM.md. A list that has
/// not changed since the last read is not transferred again.
class HostListClient {
 public:
  HostListClient(std::string list_host, std::uint16_t list_port,
                 Duration timeout);

  HostsListed List();

 private:
  std::string host;
  std::uint16_t port;
  Duration call_timeout;
  std::mutex mutex;
  /// Version of the last list that was read whole; empty before.
  std::string version;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_
