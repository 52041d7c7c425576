#ifndef BASILSPREAD_CLIENTS_LOG_CLIENT_H_
#define BASILSPREAD_CLIENTS_LOG_CLIENT_H_

#include <cstdint>
#include <string>

#include "basilspread/clients/response_memory.h"
#include "basilspread/core/event.h"
#include "basilspread/core/record.h"
#include "basilspread/core/time.h"

namespace basilspread::clients {

/// Client of the platform's log service over HTTP, see docs/PLATFORM.md. Calls
/// block for at most the timeout. May be used from several threads.
class LogClient {
 public:
  LogClient(std::string log_host, std::uint16_t log_port, Duration timeout,
            OpenResponse response_hook = {});

  LogAppended Append(const StreamName& stream, const LogBatch& batch) const;
  LogRead Read(const StreamName& stream, Offset from) const;

 private:
  std::string host;
  std::uint16_t port;
  Duration call_timeout;
  OpenResponse open_response;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_LOG_CLIENT_H_
