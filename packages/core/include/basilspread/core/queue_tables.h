#ifndef BASILSPREAD_CORE_QUEUE_TABLES_H_
#define BASILSPREAD_CORE_QUEUE_TABLES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
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
  /// Callers need no key of a workspace.
  bool allows_anonymous = false;
};

/// A customer's share of the cluster.
struct Workspace {
  WorkspaceName name;
  /// Submissions per second that it is entitled to; 0: no limit.
  double weight = 0;
  /// Upper bound of what its tasks reserve on all workers; an amount of 0 is
  /// not limited.
  Resources quota;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// The workspaces of the tables, and the keys of their callers.
struct WorkspaceTable {
  std::map<WorkspaceName, Workspace> rows;
  /// Keys are secrets and must not be logged.
  std::map<std::string, WorkspaceName, std::less<>> by_key;
};

/// The tables in force, as the operator published them.
struct QueueTables {
  TablesVersion version;
  std::vector<QueueRoute> routes;
  /// Unset: callers need no key.
  std::optional<WorkspaceTable> workspaces = std::nullopt;
};

/// The tables that this process has read, and its position in their stream.
struct QueueTablesState {
  std::optional<QueueTables> tables;
  /// Offset after the last record read; valid if `is_next_known`.
  Offset next;
  bool is_next_known = false;
  /// Latest time at which the store is known to have had no newer tables: the
  /// send time of the read that showed it.
  std::optional<TimePoint> confirmed_at;
  /// Reads sent before this prove nothing, since the clock stood still while
  /// the process was suspended.
  TimePoint confirmations_valid_from;
  /// Whether it was logged that keys are rejected, since the tables are not
  /// confirmed.
  bool is_unconfirmed_logged = false;
  /// Reads without a result.
  std::uint32_t open_reads = 0;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_QUEUE_TABLES_H_
