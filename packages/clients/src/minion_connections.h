#ifndef BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_
#define BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_

#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "basilspread/core/time.h"
#include "minion_connection.h"

namespace basilspread::clients {

/// Pool of idle connections that idempotent requests may reuse. May be called
/// from any thread.
class MinionConnections {
 public:
  /// Removes an open idle connection to the address from the pool; null if
  /// there is none.
  std::unique_ptr<MinionConnection> Take(const std::string& address,
                                         TimePoint now);
  /// Adds a connection to the pool; closes it if the pool is full.
  void Return(std::unique_ptr<MinionConnection> connection, TimePoint now);

 private:
  struct IdleConnection {
    std::unique_ptr<MinionConnection> connection;
    TimePoint since;
  };

  void CloseExpired(TimePoint now);

  std::mutex mutex;
  /// Ordered by idle time, the longest first.
  std::deque<IdleConnection> idle;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_
