#include "internal/draining.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace basilspread::internal::draining {
namespace {

constexpr std::string_view kPart = "configuration";

/// How long a process with stale tables may still accept requests of a removed
/// route.
constexpr Duration kStaleTablesMargin = std::chrono::seconds(15);

void RetainRoutes(Context& context, const Tables& old, Tables& next) {
  ConfigurationState& configuration = context.state.configuration;
  for (const auto& [name, route] : old.routes) {
    if (next.routes.contains(name)) {
      configuration.route_drain_ends.erase(name);
      continue;
    }
    Route& retained = next.routes.emplace(name, route).first->second;
    retained.draining = true;
    // No request outlives the deadline of its route.
    configuration.route_drain_ends.try_emplace(
        name, context.now + route.deadline + kStaleTablesMargin);
  }
}

TimePoint LastRouteDrainTime(const Context& context, const Tables& tables,
                             const PoolName& pool) {
  TimePoint last = context.now + kStaleTablesMargin;
  for (const auto& [name, route] : tables.routes) {
    if (route.pool == pool) {
      last = std::max(last, context.now + route.deadline + kStaleTablesMargin);
    }
  }
  return last;
}

void RetainPools(Context& context, const Tables& old, Tables& next) {
  ConfigurationState& configuration = context.state.configuration;
  for (const auto& [name, pool] : old.pools) {
    if (next.pools.contains(name)) {
      configuration.pool_drain_ends.erase(name);
      continue;
    }
    Pool& retained = next.pools.emplace(name, pool).first->second;
    retained.draining = true;
    configuration.pool_drain_ends.try_emplace(
        name, LastRouteDrainTime(context, old, name));
  }
}

/// Removes the rows whose drain time has passed, except those in use.
template <typename Name, typename Rows, typename InUse>
bool RemoveDrained(Context& context, std::map<Name, TimePoint>& drain_times,
                   Rows& rows, InUse in_use) {
  std::vector<Name> drained;
  for (const auto& [name, at] : drain_times) {
    if (at <= context.now && !in_use(name)) {
      drained.push_back(name);
    }
  }
  for (const Name& name : drained) {
    drain_times.erase(name);
    rows.erase(name);
    context.Log(LogLevel::kInfo, kPart,
                "Draining of a removed route or pool has ended; dropped it.",
                {{"name", name.value}});
  }
  return !drained.empty();
}

/// Worker pools stay for good: jobs have no time limit, and only the owners of
/// the shards know them, so a process that claims a shard later needs the pool.
bool IsInUse(const Tables& tables, const PoolName& pool) {
  if (tables.pools.at(pool).kind == PoolKind::kWorkers) {
    return true;
  }
  return std::any_of(
      tables.routes.begin(), tables.routes.end(),
      [&pool](const auto& row) { return row.second.pool == pool; });
}

}  // namespace

void RetainRemovedRows(Context& context, const Tables& old, Tables& next) {
  RetainRoutes(context, old, next);
  RetainPools(context, old, next);
}

bool RemoveDrainedRows(Context& context) {
  ConfigurationState& configuration = context.state.configuration;
  Tables& tables = configuration.tables;
  const bool dropped_routes =
      RemoveDrained(context, configuration.route_drain_ends, tables.routes,
                    [](const RouteName&) { return false; });
  const bool dropped_pools = RemoveDrained(
      context, configuration.pool_drain_ends, tables.pools,
      [&tables](const PoolName& pool) { return IsInUse(tables, pool); });
  return dropped_routes || dropped_pools;
}

}  // namespace basilspread::internal::draining
