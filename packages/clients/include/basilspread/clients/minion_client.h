#ifndef BASILSPREAD_CLIENTS_MINION_CLIENT_H_
#define BASILSPREAD_CLIENTS_MINION_CLIENT_H_

#include <functional>
#include <memory>

#include "basilspread/clients/response_memory.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::clients {

class MinionConnection;
class MinionConnections;

/// Sends requests to minions over HTTP. May be called from any thread.
class MinionClient {
 public:
  using Now = std::function<TimePoint()>;

  explicit MinionClient(Now clock_hook, OpenResponse response_hook = {});
  ~MinionClient();

  /// Blocks until the answer, a failure or the deadline, however slowly the
  /// bytes arrive. Writes nothing if `not_after` has passed by the time the
  /// connection is established. A failed or timed-out connection is closed.
  MinionAnswered Send(const SendToMinion& send) const;

 private:
  /// Sends the request on this connection and returns the connection to the
  /// pool if it is reusable.
  MinionAnswered Exchange(const SendToMinion& send,
                          std::unique_ptr<MinionConnection> connection) const;
  MinionAnswered SendOnNewConnection(const SendToMinion& send) const;

  Now now;
  OpenResponse open_response;
  std::unique_ptr<MinionConnections> connections;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_MINION_CLIENT_H_
