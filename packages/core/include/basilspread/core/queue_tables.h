#ifndef BASILSPREAD_CORE_QUEUE_TABLES_H_
#define BASILSPREAD_CORE_QUEUE_TABLES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// What an advisor's answer for one step costs, and how long it counts.
struct AdvicePolicy {
  /// Time of a call before any worker is looked at.
  Duration decision_time{};
  /// Further time for each worker that the call names.
  Duration time_per_worker{};
  /// How long a ticket may be used.
  Duration ticket_validity{};

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// How submissions of a route are treated.
struct QueuePolicy {
  PoolName pool;
  /// Lower goes first; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Failed runs after which a task or gang has failed for good.
  std::uint32_t max_attempts = 1;
  /// Allowed time as a multiple of the longest chain of work.
  double stretch = 1.0;
  /// Allowed time beyond that.
  Duration target_latency{};
  /// Set when only an advisor knows which workers may run a step.
  std::optional<AdvicePolicy> advice;

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// A row of the route table: requests with this authority and path prefix.
struct QueueRoute {
  RouteName name;
  /// Name of the host that callers address, without a port.
  std::string authority;
  std::string path_prefix;
  QueuePolicy policy;
};

/// The tables in force, as the operator published them.
struct QueueTables {
  TablesVersion version;
  std::vector<QueueRoute> routes;
};

/// The tables as far as this process has followed them.
struct QueueTablesState {
  std::optional<QueueTables> tables;
  Offset next;
  bool is_next_known = false;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_QUEUE_TABLES_H_
