#ifndef BASILSPREAD_CORE_REQUESTS_H_
#define BASILSPREAD_CORE_REQUESTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/minion.h"
#include "basilspread/core/request.h"
#include "basilspread/core/request_keys.h"
#include "basilspread/core/tables.h"
#include "basilspread/core/time.h"

namespace basilspread {

inline constexpr std::size_t kServiceClassCount = 3;

/// The requests of one class that wait for a minion of a shard.
struct ClassQueue {
  RequestQueue requests;
  std::uint32_t count = 0;
  /// Sum of the expected run times of what waits.
  Duration work{};
  /// Moving averages of the expected and the measured wait; their ratio
  /// corrects further estimates.
  Duration mean_expected_wait{};
  Duration mean_measured_wait{};
  /// Set when no slot was free for the class; spares further searches.
  bool saturated = false;
};

/// Slots of one minion that may be in use until a point in time.
struct HeldSlots {
  HostName host;
  SlotKind slot = SlotKind::kOpen;
  std::uint32_t count = 0;
};

/// The minions and the queues of one owned shard.
struct MinionShard {
  std::map<HostName, Minion> minions;
  std::array<ClassQueue, kServiceClassCount> queues;
  std::multimap<TimePoint, HeldSlots> held;
  /// After an unclean takeover, how long the slots of the minions stay held.
  TimePoint open_held_until;
  TimePoint reserved_held_until;
  /// Slots of minions in the choice; rebuilt when one enters or leaves it.
  std::uint32_t open_capacity = 0;
  std::uint32_t reserved_capacity = 0;
  /// Number of minions out of the choice by ejection.
  std::uint32_t ejected = 0;
  /// Moving average of failures over all minions, from 0 to 1.
  double failure_rate = 0;
  /// Turn of the round-robin choice.
  std::uint64_t round_robin_count = 0;
};

/// What this process learned of a route, whatever the shard.
struct RouteLoad {
  /// Moving averages; unset until `samples` is above 0.
  Duration mean_run_time{};
  Duration mean_deviation{};
  std::uint32_t samples = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::map<TeamName, std::uint32_t> queued_by_team;
  /// Retries that may be made now; each request adds a share of one.
  double retry_tokens = 0;
  bool has_retry_tokens = false;
};

/// A shard that holds a host, as far as the host list says.
struct PopulatedShard {
  ShardId shard;
  /// Slots of its hosts that are not leaving.
  std::uint32_t slots = 0;
};

struct RequestsState {
  std::map<ShardId, MinionShard> shards;
  std::map<RequestKey, RequestPtr> requests;
  std::map<CallId, RemoteRequestPtr> remote_requests;
  std::map<RouteName, RouteLoad> routes;
  IdempotencyState keys;
  /// The shards that hold a host, by pool, in order.
  std::map<PoolName, std::vector<PopulatedShard>> populated_shards;
  /// Queued requests, which end at their deadline.
  ExpirySet<Request> expiry;
  ExpirySet<RemoteRequest> remote_expiry;
  /// Calls that wait for an owner, by when to try again.
  std::multimap<TimePoint, CallId> awaiting_owner;
  bool timer_armed = false;
};

/// All that waits for minions of a shard.
std::uint32_t QueuedRequests(const MinionShard& shard);

/// Fills in what a report says of slots and queues.
void FillShardLoad(const MinionShard& shard, ShardReport& report);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUESTS_H_
