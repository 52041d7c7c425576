#ifndef BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_
#define BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_

#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "basilspread/core/time.h"
#include "minion_connection.h"

namespace basilspread::clients {

/// Idle connections that idempotent requests may use again while fresh.
class MinionConnections {
 public:
  /// A fresh, quiet connection to the address; null when there is none.
  std::unique_ptr<MinionConnection> Take(const std::string& address,
                                         TimePoint now);
  /// Keeps a connection for a short time.
  void Return(std::unique_ptr<MinionConnection> connection, TimePoint now);

 private:
  struct Idle {
    std::unique_ptr<MinionConnection> connection;
    TimePoint since;
  };

  void CloseStale(TimePoint now);

  std::mutex mutex;
  /// The longest idle one comes first.
  std::deque<Idle> idle;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_MINION_CONNECTIONS_H_
