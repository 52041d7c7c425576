#include "internal/draining.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace basilspread::internal::draining {
namespace {

constexpr std::string_view kPart = "configuration";

/// A process whose tables lag takes requests of a removed route for this long.
constexpr Duration kLagMargin = std::chrono::seconds(15);

void KeepRoutes(Context& context, const Tables& old, Tables& next) {
  ConfigurationState& configuration = context.state.configuration;
  for (const auto& [name, route] : old.routes) {
    if (next.routes.contains(name)) {
      configuration.route_drain_ends.erase(name);
      continue;
    }
    Route& kept = next.routes.emplace(name, route).first->second;
    kept.draining = true;
    // No request outlives the deadline of its route.
    configuration.route_drain_ends.try_emplace(
        name, context.now + route.deadline + kLagMargin);
  }
}

TimePoint LastRouteDrained(const Context& context, const Tables& tables,
                           const PoolName& pool) {
  TimePoint last = context.now + kLagMargin;
  for (const auto& [name, route] : tables.routes) {
    if (route.pool == pool) {
      last = std::max(last, context.now + route.deadline + kLagMargin);
    }
  }
  return last;
}

void KeepPools(Context& context, const Tables& old, Tables& next) {
  ConfigurationState& configuration = context.state.configuration;
  for (const auto& [name, pool] : old.pools) {
    if (next.pools.contains(name)) {
      configuration.pool_drain_ends.erase(name);
      continue;
    }
    Pool& kept = next.pools.emplace(name, pool).first->second;
    kept.draining = true;
    configuration.pool_drain_ends.try_emplace(
        name, LastRouteDrained(context, old, name));
  }
}

/// Removes the rows whose point has passed; `in_use` rows stay.
template <typename Name, typename Rows, typename InUse>
bool Drop(Context& context, std::map<Name, TimePoint>& points, Rows& rows,
          InUse in_use) {
  std::vector<Name> drained;
  for (const auto& [name, at] : points) {
    if (at <= context.now && !in_use(name)) {
      drained.push_back(name);
    }
  }
  for (const Name& name : drained) {
    points.erase(name);
    rows.erase(name);
    context.Log(LogLevel::kInfo, kPart, "Removed row has drained.",
                {{"name", name.value}});
  }
  return !drained.empty();
}

/// Jobs have no bound of time, and only the owners of the shards know them: a
/// process that claims one later must find the pool. So worker pools stay.
bool IsInUse(const Tables& tables, const PoolName& pool) {
  if (tables.pools.at(pool).kind == PoolKind::kWorkers) {
    return true;
  }
  return std::any_of(
      tables.routes.begin(), tables.routes.end(),
      [&pool](const auto& row) { return row.second.pool == pool; });
}

}  // namespace

void KeepRemoved(Context& context, const Tables& old, Tables& next) {
  KeepRoutes(context, old, next);
  KeepPools(context, old, next);
}

bool DropDrained(Context& context) {
  ConfigurationState& configuration = context.state.configuration;
  Tables& tables = configuration.tables;
  const bool dropped_routes =
      Drop(context, configuration.route_drain_ends, tables.routes,
           [](const RouteName&) { return false; });
  const bool dropped_pools =
      Drop(context, configuration.pool_drain_ends, tables.pools,
           [&tables](const PoolName& pool) { return IsInUse(tables, pool); });
  return dropped_routes || dropped_pools;
}

}  // namespace basilspread::internal::draining
