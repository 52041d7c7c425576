#ifndef BASILSPREAD_CLIENTS_WORKER_CLIENT_H_
#define BASILSPREAD_CLIENTS_WORKER_CLIENT_H_

#include <functional>
#include <string>

#include "basilspread/clients/response_memory.h"
#include "basilspread/core/time.h"
#include "basilspread/core/worker.h"

namespace basilspread::clients {

/// Client of the workers' protocol over HTTP, see docs/PLATFORM.md. May be used
/// from several threads.
class WorkerClient {
 public:
  using Now = std::function<TimePoint()>;

  WorkerClient(std::string holder_name, Now clock_hook,
               OpenResponse response_hook = {});

  /// Blocks until the answer, a failure or the deadline. Writes nothing if
  /// `not_after` has passed by the time the connection is established.
  WorkerAnswered Call(const CallWorker& call) const;

 private:
  std::string holder;
  Now now;
  OpenResponse open_response;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_WORKER_CLIENT_H_
