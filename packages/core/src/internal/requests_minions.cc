#include "internal/requests_minions.h"

#include <algorithm>
#include <set>
#include <vector>

#include "internal/ownership.h"
#include "internal/requests_slots.h"

namespace basilspread::internal::requests {
namespace {

constexpr std::uint32_t kPercent = 100;

/// Number of reserved slots of a minion. It depends on the host and the tables
/// only, so that the next owner of the shard knows which slots cannot hold a
/// long request.
std::uint32_t ReservedSlots(std::uint32_t slots, const Pool& pool) {
  return (slots * pool.short_reserve_percent + kPercent - 1) / kPercent;
}

/// Slots limited by connections, since each request uses its own connection.
std::uint32_t UsableSlots(const Host& host) {
  return host.connections == 0 ? host.slots
                               : std::min(host.slots, host.connections);
}

void UpdateMinion(const Context& context, const Pool& pool, const Host& host,
                  MinionShard& shard) {
  const auto [found, is_new] = shard.minions.try_emplace(host.name);
  Minion& minion = found->second;
  const std::uint32_t slots = UsableSlots(host);
  minion.name = host.name;
  minion.address = host.address;
  minion.leaving = host.leaving;
  minion.reserved.slots = ReservedSlots(slots, pool);
  minion.open.slots = slots - minion.reserved.slots;
  if (is_new) {
    HoldAfterTakeover(context, shard, minion);
  }
}

/// Marks minions that are no longer listed as leaving, and removes them once
/// none of their slots is in use.
void RemoveUnlisted(MinionShard& shard, const std::set<HostName>& listed) {
  for (auto it = shard.minions.begin(); it != shard.minions.end();) {
    Minion& minion = it->second;
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    minion.leaving = true;
    it = UsedSlots(minion) == 0 ? shard.minions.erase(it) : std::next(it);
  }
}

}  // namespace

void RebuildMinions(Context& context) {
  RequestsState& requests = context.state.requests;
  std::set<HostName> listed;
  std::map<PoolName, std::map<ShardId, std::uint32_t>> populated_shards;
  for (const auto& [name, host] : context.state.hosts.hosts) {
    for (const auto& [pool_name, pool] :
         context.state.configuration.tables.pools) {
      if (pool.kind != PoolKind::kMinions || pool.group != host.group) {
        continue;
      }
      const ShardId shard = ownership::ShardOf(pool, host);
      if (!host.leaving) {
        populated_shards[pool_name][shard] += UsableSlots(host);
      }
      if (ownership::OwnsShard(context, shard)) {
        UpdateMinion(context, pool, host, requests.shards[shard]);
        listed.insert(name);
      }
    }
  }
  requests.populated_shards.clear();
  for (const auto& [pool, shards] : populated_shards) {
    for (const auto& [shard, slots] : shards) {
      requests.populated_shards[pool].push_back(PopulatedShard{shard, slots});
    }
  }
  for (auto& [id, shard] : requests.shards) {
    RemoveUnlisted(shard, listed);
    CountCapacity(shard);
    ClearSaturation(shard);
  }
}

void CountCapacity(MinionShard& shard) {
  shard.open_capacity = 0;
  shard.reserved_capacity = 0;
  shard.ejected = 0;
  for (const auto& [name, minion] : shard.minions) {
    if (minion.leaving) {
      continue;
    }
    if (minion.health.phase == HealthPhase::kEjected) {
      ++shard.ejected;
      continue;
    }
    shard.open_capacity += minion.open.slots;
    shard.reserved_capacity += minion.reserved.slots;
  }
}

Duration MaxRunTime(const Context& context, const PoolName& pool,
                    SlotKind slot) {
  Duration longest{};
  for (const auto& [name, route] : context.state.configuration.tables.routes) {
    const bool is_long = route.service_class == ServiceClass::kLong;
    const bool may_use = slot == SlotKind::kOpen || !is_long;
    if (route.pool == pool && may_use) {
      longest = std::max(longest, route.deadline);
    }
  }
  return longest;
}

}  // namespace basilspread::internal::requests
