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

/// The queued requests of one service class in a shard.
struct ClassQueue {
  RequestQueue requests;
  std::uint32_t count = 0;
  /// Sum of the expected run times of the queued requests.
  Duration work{};
  /// Moving averages of the predicted and the measured wait; their ratio
  /// corrects later predictions.
  Duration mean_expected_wait{};
  Duration mean_measured_wait{};
  /// Set when no slot was free for the class; skips further searches until a
  /// slot may be free.
  bool saturated = false;
};

/// Slots of one minion that an earlier request may still occupy.
struct HeldSlots {
  HostName host;
  SlotKind slot = SlotKind::kOpen;
  std::uint32_t count = 0;
};

/// Minions and queues of one owned shard.
struct MinionShard {
  std::map<HostName, Minion> minions;
  std::array<ClassQueue, kServiceClassCount> queues;
  /// Held slots by the time at which they are released.
  std::multimap<TimePoint, HeldSlots> held;
  /// Until when all slots of the minions stay held after a takeover.
  TimePoint open_held_until;
  TimePoint reserved_held_until;
  /// Slots of the eligible minions: those neither leaving nor ejected.
  std::uint32_t open_capacity = 0;
  std::uint32_t reserved_capacity = 0;
  /// Number of ejected minions.
  std::uint32_t ejected = 0;
  /// Moving average of the share of failed requests over all minions, from 0
  /// to 1.
  double failure_rate = 0;
  /// Number of minions chosen so far; position of the round-robin choice.
  std::uint64_t round_robin_count = 0;
};

/// Load and statistics of a route over all shards of this process.
struct RouteLoad {
  /// Moving averages of the run time; valid if `samples` is above 0.
  Duration mean_run_time{};
  Duration mean_deviation{};
  std::uint32_t samples = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::map<TeamName, std::uint32_t> queued_by_team;
  /// Retries allowed now; each request adds a fraction of one.
  double retry_tokens = 0;
  bool has_retry_tokens = false;
};

/// A shard to which the host list assigns at least one host that is not
/// leaving.
struct PopulatedShard {
  ShardId shard;
  /// Sum of the slots of these hosts.
  std::uint32_t slots = 0;
};

/// All requests that this process handles or has forwarded.
struct RequestsState {
  std::map<ShardId, MinionShard> shards;
  std::map<RequestKey, RequestPtr> requests;
  std::map<CallId, RemoteRequestPtr> remote_requests;
  std::map<RouteName, RouteLoad> routes;
  IdempotencyState keys;
  /// Shards with at least one host that is not leaving, by pool, in order.
  std::map<PoolName, std::vector<PopulatedShard>> populated_shards;
  /// Queued requests by deadline.
  ExpirySet<Request> expiry;
  ExpirySet<RemoteRequest> remote_expiry;
  /// Calls that wait for their shard to have an owner, by the time of their
  /// next attempt.
  std::multimap<TimePoint, CallId> awaiting_owner;
  bool timer_armed = false;
};

/// Number of queued requests of all classes.
std::uint32_t QueuedRequests(const MinionShard& shard);

/// Sets the counts of free slots and queued requests in the report.
void FillShardLoad(const MinionShard& shard, ShardReport& report);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUESTS_H_
