#ifndef BASILSPREAD_NODE_CONNECTION_BUDGET_H_
#define BASILSPREAD_NODE_CONNECTION_BUDGET_H_

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <functional>
#include <limits>
#include <mutex>
#include <string_view>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// What a connection does, which decides whether it may be closed.
enum class ConnectionUse {
  /// Waits for the first byte of a message.
  kIdle,
  /// Receives a message that nothing has acted on.
  kReceiving,
  /// Its message is being processed. Never closed over a limit.
  kProcessing,
  /// Sends an answer. Closed only if the other side accepts nothing for
  /// kStallTime.
  kSending,
};

/// The listening port of a connection, or kOutgoing.
enum class ConnectionPort { kCallers, kReadiness, kAdmin, kPeers, kOutgoing };

/// The limits that connections and messages can exceed.
enum class ConnectionLimit {
  /// Memory of all connections.
  kMemory,
  /// Descriptors of the process.
  kDescriptors,
  /// Connections of one port.
  kConnections,
  /// Size of one message.
  kMessage,
};

inline constexpr std::size_t kConnectionLimits = 4;

/// The limit's value of metric labels and log fields.
std::string_view NameOf(ConnectionLimit limit);

class ConnectionBudget;
using ConnectionBudgetPtr = boost::intrusive_ptr<ConnectionBudget>;

/// The account of one connection in the budget of its process. All methods but
/// the constructor and Close are called on the connection's thread.
class ConnectionAccount : public boost::intrusive::list_base_hook<> {
 public:
  /// `close_hook` must end the reading and writing of the connection without
  /// blocking. It is called from any thread, at most once, and not after Close.
  ConnectionAccount(ConnectionBudgetPtr its_budget, ConnectionPort its_port,
                    std::function<void()> close_hook);
  ~ConnectionAccount();
  ConnectionAccount(const ConnectionAccount&) = delete;
  ConnectionAccount& operator=(const ConnectionAccount&) = delete;

  /// Sets the memory that the connection holds; returns false if it is to be
  /// closed. Closes other connections where the budget is exceeded.
  bool Hold(std::size_t bytes, TimePoint now);
  /// Begins a use, or continues it after progress; returns false if the
  /// connection is to be closed.
  bool Use(ConnectionUse use, TimePoint now);
  bool IsEvicted() const;
  /// Ends the account; called by the destructor too.
  void Close();

 private:
  friend class ConnectionBudget;

  const ConnectionBudgetPtr budget;
  const ConnectionPort port;
  const std::function<void()> close;
  // Guarded by the budget's mutex.
  std::size_t bytes = 0;
  ConnectionUse use = ConnectionUse::kIdle;
  TimePoint since;
  bool is_evicted = false;
};

/// Memory and number of the connections of a process.
struct ConnectionUsage {
  std::size_t connections = 0;
  std::size_t bytes = 0;
  std::size_t max_bytes = 0;
};

/// Accounts for the connections of a process on all of its ports and to other
/// services, and closes some of them where they exceed its limits. Thread-safe.
class ConnectionBudget
    : public boost::intrusive_ref_counter<ConnectionBudget,
                                          boost::thread_safe_counter> {
 public:
  struct Limits {
    std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();
    /// Maximum number of connections, and highest descriptor of a new one;
    /// the rest is kept for files.
    std::size_t max_descriptor = std::numeric_limits<std::size_t>::max();
  };
  struct Hooks {
    /// Called each time that a limit was exceeded. Must not block.
    std::function<void(ConnectionLimit)> on_exceeded;
    /// Returns freed memory to the system.
    std::function<void()> release_memory;
  };

  /// Without limits.
  ConnectionBudget();
  ConnectionBudget(Limits process_limits, Hooks limit_hooks);

  /// Whether a new connection with this descriptor may stay open; closes
  /// another one for it if none is left.
  bool Admit(std::size_t descriptor, TimePoint now);
  /// Closes the connections of the port that have completed no message for this
  /// long, and returns their number.
  std::size_t CloseStalled(ConnectionPort port, Duration stalled_for,
                           TimePoint now);
  /// Counts a limit that was exceeded without a call of this object.
  void Report(ConnectionLimit limit) const;
  /// Returns memory to the system some time after it was used. Called by loops
  /// between two turns.
  void ReleaseMemory(TimePoint now);

  ConnectionUsage Usage() const;

 private:
  friend class ConnectionAccount;
  using Accounts = boost::intrusive::list<ConnectionAccount>;

  void EvictForMemory(TimePoint now);
  bool EvictOldest(TimePoint now);
  void Evict(ConnectionAccount& account, ConnectionLimit limit);

  const Limits limits;
  const Hooks hooks;
  mutable std::mutex mutex;
  Accounts accounts;
  /// Number and bytes of the accounts that are not evicted.
  std::size_t open = 0;
  std::size_t held = 0;
  /// Highest value of `held` since memory was last released.
  std::size_t peak = 0;
  TimePoint released_at;
};

/// The limits of a process by its settings and its own limit of descriptors.
ConnectionBudget::Limits BudgetLimits(const config::NodeSettings& settings);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_CONNECTION_BUDGET_H_
