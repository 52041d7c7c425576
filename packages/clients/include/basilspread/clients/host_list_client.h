#ifndef BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_
#define BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "basilspread/clients/response_memory.h"
#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::clients {

/// Reads the platform's host list over HTTP, see docs/PLATFORM.md. Reads are
/// conditional: an unchanged list is not transferred again.
class HostListClient {
 public:
  HostListClient(std::string list_host, std::uint16_t list_port,
                 Duration timeout, OpenResponse response_hook = {});

  /// Blocks until the answer or a timeout. May be called from any thread;
  /// concurrent calls run one after the other.
  HostsListed List();

 private:
  std::string host;
  std::uint16_t port;
  Duration call_timeout;
  OpenResponse open_response;
  std::mutex mutex;
  /// Version of the last list that was read completely; empty if there is none.
  std::string version;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_HOST_LIST_CLIENT_H_
