#ifndef BASILSPREAD_CLIENTS_MINION_CLIENT_H_
#define BASILSPREAD_CLIENTS_MINION_CLIENT_H_

#include <functional>
#include <memory>

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

  explicit MinionClient(Now clock_hook);
  ~MinionClient();

  /// Blocks until the answer, a failure or the deadline, however slowly bytes
  /// come. Writes nothing when `not_after` has passed by the time the
  /// connection stands. A connection that broke or timed out is closed.
  MinionAnswered Send(const SendToMinion& send) const;

 private:
  /// Exchanges on this connection and keeps it when it may be used again.
  MinionAnswered Exchange(const SendToMinion& send,
                          std::unique_ptr<MinionConnection> connection) const;
  MinionAnswered SendOnNew(const SendToMinion& send) const;

  Now now;
  std::unique_ptr<MinionConnections> connections;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_MINION_CLIENT_H_
