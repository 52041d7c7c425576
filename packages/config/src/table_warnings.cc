#include "basilspread/config/table_warnings.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "basilspread/config/reader.h"

namespace basilspread::config {
namespace {

constexpr std::uint32_t kAllSlotsPercent = 100;

/// Returns the hosts of a pool that accept new work.
std::vector<const Host*> LiveHosts(const Pool& pool,
                                   const std::vector<Host>& hosts) {
  std::vector<const Host*> live;
  for (const Host& host : hosts) {
    if (host.group == pool.group && !host.leaving) {
      live.push_back(&host);
    }
  }
  return live;
}

void AddRouteWarnings(const Route& route, const Tables& tables,
                      std::vector<std::string>& warnings) {
  if (route.deadline < route.expected_run_time) {
    warnings.push_back(
        fmt::format("[route {}] deadline {} is shorter than the expected run "
                    "time {}",
                    route.name.value, FormatDuration(route.deadline),
                    FormatDuration(route.expected_run_time)));
  }
  if (!route.idempotent && route.retries > 0) {
    warnings.push_back(
        fmt::format("[route {}] retries a request that is not idempotent only "
                    "when it surely did not run",
                    route.name.value));
  }
  const auto pool = tables.pools.find(route.pool);
  if (pool != tables.pools.end() &&
      route.service_class == ServiceClass::kLong &&
      pool->second.short_reserve_percent >= kAllSlotsPercent) {
    warnings.push_back(
        fmt::format("[route {}] never runs: the reserve of [pool {}] leaves "
                    "no slot for the long class",
                    route.name.value, route.pool.value));
  }
}

void AddPoolHostWarnings(const Pool& pool, const std::vector<Host>& hosts,
                         std::vector<std::string>& warnings) {
  const std::vector<const Host*> live = LiveHosts(pool, hosts);
  if (live.empty()) {
    warnings.push_back(fmt::format(
        "[pool {}] has no live host: the host list has none of group {}",
        pool.name.value, pool.group));
    return;
  }
  std::set<std::string> racks;
  std::uint64_t slots = 0;
  for (const Host* host : live) {
    racks.insert(host->rack);
    slots += host->slots;
  }
  if (pool.shards > racks.size()) {
    warnings.push_back(fmt::format(
        "[pool {}] has {} shards for {} racks: some shards hold no host",
        pool.name.value, pool.shards, racks.size()));
  }
  if (pool.kind == PoolKind::kMinions && slots == 0) {
    warnings.push_back(fmt::format(
        "[pool {}] has minions, but its hosts have no slots", pool.name.value));
  }
}

Resources WorkerCapacity(const Tables& tables, const std::vector<Host>& hosts) {
  Resources capacity;
  for (const auto& [name, pool] : tables.pools) {
    if (pool.kind != PoolKind::kWorkers) {
      continue;
    }
    for (const Host* host : LiveHosts(pool, hosts)) {
      capacity += host->capacity;
    }
  }
  return capacity;
}

}  // namespace

std::vector<std::string> FindTableWarnings(const Tables& tables) {
  std::vector<std::string> warnings;
  std::set<PoolName> used;
  for (const auto& [name, route] : tables.routes) {
    used.insert(route.pool);
    AddRouteWarnings(route, tables, warnings);
  }
  for (const auto& [name, pool] : tables.pools) {
    if (pool.kind == PoolKind::kMinions && !used.contains(name)) {
      warnings.push_back(
          fmt::format("[pool {}] is not used by any route", name.value));
    }
  }
  return warnings;
}

std::vector<std::string> FindHostWarnings(const Tables& tables,
                                          const std::vector<Host>& hosts) {
  std::vector<std::string> warnings;
  for (const auto& [name, pool] : tables.pools) {
    AddPoolHostWarnings(pool, hosts, warnings);
  }
  const Resources capacity = WorkerCapacity(tables, hosts);
  for (const auto& [team, quota] : tables.quotas) {
    if (!Fits(quota.limit, capacity)) {
      warnings.push_back(fmt::format(
          "[team {}] may reserve more than all workers have", team.value));
    }
  }
  return warnings;
}

}  // namespace basilspread::config
