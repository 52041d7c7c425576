#ifndef BASILSPREAD_CORE_TABLES_H_
#define BASILSPREAD_CORE_TABLES_H_

#include <cstdint>
#include <map>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Service class of a route; each has its own queue and reserve.
enum class ServiceClass { kUrgent, kShort, kLong };

/// What a pool's hosts are.
enum class PoolKind { kMinions, kWorkers };

/// One row of the route table: what goes where, under what policy.
struct Route {
  RouteName name;
  PoolName pool;
  ServiceClass service_class = ServiceClass::kShort;
  /// Time from arrival within which the caller needs the answer.
  Duration deadline = std::chrono::seconds(30);
  bool idempotent = false;
  /// Further tries after the first where a retry is safe.
  std::uint32_t retries = 0;
  /// Retries allowed as a share of requests, in percent.
  std::uint32_t retry_budget_percent = 10;
  /// Requests that may wait for this route in one entry process.
  std::uint32_t queue_limit = 256;
  /// Largest share of the queue that one team may hold, in percent.
  std::uint32_t team_share_percent = 100;
  /// First guess of the run time, until measured.
  Duration expected_run_time = std::chrono::milliseconds(100);
  /// Name of the hook that picks the minion.
  std::string choice = "least-loaded";
  /// Name of the hook that orders the queue.
  std::string order = "shortest-first";
  /// Name of the hook that refuses what can't make its deadline.
  std::string admission = "deadline-aware";
  /// Removed from the table, or its pool drains; takes no new requests,
  /// finishes the accepted.
  bool draining = false;
};

/// One row of the pool table: which hosts serve, and how they are shared.
struct Pool {
  PoolName name;
  PoolKind kind = PoolKind::kMinions;
  /// Host group in the platform's list.
  std::string group;
  /// Number of shards that the hosts are spread over by rack.
  std::uint32_t shards = 4;
  /// Share of the slots kept for urgent and short classes, in percent.
  std::uint32_t short_reserve_percent = 20;
  /// Name of the hook that picks the worker.
  std::string placement = "best-fit";
  /// Removed from the table and kept until the work in it is finished, or
  /// marked by the operators.
  bool draining = false;
};

/// What a team may reserve in all worker pools together.
struct Quota {
  TeamName team;
  Resources limit;
};

/// Both tables, and the quotas, of one version.
struct Tables {
  TablesVersion version;
  std::map<RouteName, Route> routes;
  std::map<PoolName, Pool> pools;
  std::map<TeamName, Quota> quotas;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TABLES_H_
