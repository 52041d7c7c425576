#ifndef BASILSPREAD_CORE_QUEUE_TABLES_H_
#define BASILSPREAD_CORE_QUEUE_TABLES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Cost of an advisor's answer for one step, and how long the answer is valid.
struct AdvicePolicy {
  /// Fixed time of a call, whatever the number of workers.
  Duration decision_time{};
  /// Additional time for each worker that the call names.
  Duration time_per_worker{};
  /// How long a ticket may be used.
  Duration ticket_validity{};

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// Scheduling policy for the submissions of a route.
struct QueuePolicy {
  PoolName pool;
  /// Submissions with a lower value go first; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Number of failed runs after which a task or gang fails permanently.
  std::uint32_t max_attempts = 1;
  /// Allowed time as a multiple of the run time of the longest chain of steps.
  double stretch = 1.0;
  /// Time allowed in addition to the stretched run time.
  Duration target_latency{};
  /// Set when an advisor decides which workers may run a step.
  std::optional<AdvicePolicy> advice;

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// A row of the route table; applies to requests with this authority and path
/// prefix.
struct QueueRoute {
  RouteName name;
  /// Host name that callers address, without a port.
  std::string authority;
  std::string path_prefix;
  QueuePolicy policy;
};

/// The tables in force, as the operator published them.
struct QueueTables {
  TablesVersion version;
  std::vector<QueueRoute> routes;
};

/// The tables that this process has read, and its position in their stream.
struct QueueTablesState {
  std::optional<QueueTables> tables;
  /// Offset after the last record read; valid if `is_next_known`.
  Offset next;
  bool is_next_known = false;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_QUEUE_TABLES_H_
