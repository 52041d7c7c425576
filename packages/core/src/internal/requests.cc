#include "internal/requests.h"

#include <algorithm>
#include <variant>
#include <vector>

#include "internal/configuration.h"
#include "internal/ownership.h"
#include "internal/requests_admission.h"
#include "internal/requests_answer.h"
#include "internal/requests_dispatch.h"
#include "internal/requests_ejection.h"
#include "internal/requests_forwarding.h"
#include "internal/requests_keys.h"
#include "internal/requests_minions.h"
#include "internal/requests_queue.h"
#include "internal/requests_slots.h"

namespace basilspread::internal::requests {
namespace {

/// Interval at which deadlines and held slots are checked while there are any.
constexpr Duration kTimerInterval = std::chrono::milliseconds(20);

/// The caller's timeout, limited to that of the route, which is the default.
Duration EffectiveTimeout(const RequestArrived& event, const Route& route) {
  const bool has_own = event.deadline > Duration::zero();
  return has_own ? std::min(event.deadline, route.deadline) : route.deadline;
}

void ArmTimer(Context& context) {
  if (!context.state.requests.timer_armed) {
    context.state.requests.timer_armed = true;
    context.ArmIn(TimerKind::kRequests, kTimerInterval);
  }
}

bool HasIdempotentRoute(const Context& context, const PoolName& pool) {
  const auto& routes = context.state.configuration.tables.routes;
  return std::any_of(routes.begin(), routes.end(), [&pool](const auto& entry) {
    return entry.second.pool == pool && entry.second.idempotent;
  });
}

/// Whether anything depends on the periodic timer.
bool NeedsTimer(const RequestsState& requests) {
  const bool has_calls = !requests.requests.empty() ||
                         !requests.remote_requests.empty() ||
                         !requests.keys.deadlines.empty();
  return has_calls || std::any_of(requests.shards.begin(),
                                  requests.shards.end(), [](const auto& entry) {
                                    const MinionShard& shard = entry.second;
                                    return !shard.held.empty() ||
                                           shard.ejected > 0;
                                  });
}

/// Releases held slots and ends ejections that are due, then dispatches.
void UpdateShards(Context& context) {
  for (auto& [id, shard] : context.state.requests.shards) {
    ReleaseHeldSlots(context, shard);
    if (shard.ejected > 0) {
      const auto ownership = context.state.ownership.shards.find(id);
      const bool can_probe =
          ownership != context.state.ownership.shards.end() &&
          HasIdempotentRoute(context, ownership->second.pool);
      EndEjections(context, shard, can_probe);
    }
    Dispatch(context, id);
  }
}

/// If an earlier forward attempt of the call is still handled here, directs its
/// answer to the new attempt, which is the one that the origin waits for.
/// Returns whether there was such an attempt.
bool ReplaceEarlierAttempt(Context& context, const RequestKey& key,
                           const ForwardRequest& message) {
  const auto found = context.state.requests.requests.find(key);
  if (found == context.state.requests.requests.end()) {
    return false;
  }
  found->second->forward_attempt = message.attempt;
  return true;
}

void AdmitForwarded(Context& context, const Route& route, const RequestKey& key,
                    const ForwardRequest& message) {
  RequestPtr request(new Request);
  request->key = key;
  request->forward_attempt = message.attempt;
  request->shard = message.shard;
  request->route = message.route;
  request->team = message.team;
  request->deadline = context.now + message.time_left;
  request->payload = message.payload;
  Admit(context, route, request);
}

}  // namespace

void OnArrived(Context& context, const RequestArrived& event) {
  const RequestKey key{context.state.settings.self, event.call};
  // Only the owner of a key knows whether a request under it has run.
  const bool has_key = !event.idempotency_key.empty();
  if (context.state.stopping) {
    Answer(context, key, 0,
           AccountForEarlierAttempts({ErrorKind::kStopping, "", nullptr},
                                     has_key));
    return;
  }
  if (!configuration::IsReady(context)) {
    Answer(context, key, 0,
           AccountForEarlierAttempts({ErrorKind::kNotReady, "", nullptr},
                                     has_key));
    return;
  }
  const Route* route = FindRoute(context, event.route);
  if (route == nullptr || route->draining) {
    Answer(context, key, 0,
           {ErrorKind::kUnknownRoute, event.route.value, nullptr});
    return;
  }
  RemoteRequestPtr call(new RemoteRequest);
  call->call = event.call;
  call->route = event.route;
  call->team = event.team;
  call->idempotency_key = event.idempotency_key;
  call->idempotent = route->idempotent;
  call->payload = event.payload;
  call->arrived = context.now;
  call->deadline = context.now + EffectiveTimeout(event, *route);
  Submit(context, call);
  ArmTimer(context);
}

void OnCallerGone(Context& context, const CallerDisconnected& event) {
  const RequestKey key{context.state.settings.self, event.call};
  const auto found = context.state.requests.requests.find(key);
  const bool is_queued = found != context.state.requests.requests.end() &&
                         found->second->QueueHook::is_linked();
  if (is_queued) {
    const RequestPtr request = found->second;
    Dequeue(context, context.state.requests.shards.at(request->shard),
            *request);
    Finish(context, request, {ErrorKind::kCancelled, "", nullptr});
  }
}

void OnForwarded(Context& context, const ProcessId& from,
                 const ForwardRequest& message) {
  const RequestKey key{from, message.call};
  const Route* route = FindRoute(context, message.route);
  if (ReplaceEarlierAttempt(context, key, message)) {
    return;
  }
  if (!ownership::AcceptsWork(context, message.shard)) {
    Answer(context, key, message.attempt,
           {ErrorKind::kNotOwner, message.shard.value, nullptr});
  } else if (route == nullptr) {
    Answer(context, key, message.attempt,
           {ErrorKind::kUnknownRoute, message.route.value, nullptr});
  } else if (message.idempotency_key.empty()) {
    AdmitForwarded(context, *route, key, message);
  } else {
    const IdempotencyKey name{message.shard, message.route, message.team,
                              message.idempotency_key};
    const IdempotencyWaiter waiter{key, message.attempt,
                                   context.now + message.time_left, false};
    SubmitUnderKey(context, *route, name, waiter, message.payload);
  }
  ArmTimer(context);
}

void OnForwardAnswered(Context& context, const ProcessId& from,
                       const ForwardAnswer& message) {
  SettleForward(context, from, message);
}

void OnPeerMessageNotSent(Context& context, const PeerMessageNotSent& event) {
  if (const auto* forward = std::get_if<ForwardRequest>(&event.message)) {
    RetryUnsent(context, event.peer, *forward);
  }
}

void OnMinionAnswered(Context& context, const MinionAnswered& event) {
  SettleAttempt(context, event);
  ArmTimer(context);
}

void OnKeyIntent(Context& context, const KeyIntentRecord& record) {
  ApplyKeyIntent(context, record);
}

void OnKeyOutcome(Context& context, const KeyOutcomeRecord& record) {
  ApplyKeyOutcome(context, record);
}

void OnTimer(Context& context) {
  context.state.requests.timer_armed = false;
  ExpireQueued(context);
  UpdateShards(context);
  RetryCallsAwaitingOwner(context);
  ExpireForwards(context);
  ExpireKeys(context);
  if (NeedsTimer(context.state.requests)) {
    ArmTimer(context);
  }
}

void OnHostsChanged(Context& context) {
  RebuildMinions(context);
  for (auto& [id, shard] : context.state.requests.shards) {
    Dispatch(context, id);
  }
}

void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind) {
  MinionShard& minions = context.state.requests.shards[shard];
  const PoolName& pool = context.state.ownership.shards.at(shard).pool;
  // An owner that releases a shard has no request of its own there, but may
  // still hold slots for the requests of an earlier owner that died.
  const bool is_unclean = kind == TakeoverKind::kUnclean;
  const Duration most =
      is_unclean ? Duration::max()
                 : context.state.ownership.shards.at(shard).unsettled;
  const auto held_until = [&context, &pool, most](SlotKind slot) {
    return context.now + std::min(most, MaxRunTime(context, pool, slot));
  };
  minions.open_held_until = held_until(SlotKind::kOpen);
  minions.reserved_held_until = held_until(SlotKind::kReserved);
  // Minions left over from an earlier ownership by this process may since have
  // been used by other owners, so their slots are held too.
  for (auto& [name, minion] : minions.minions) {
    HoldAfterTakeover(context, minions, minion);
  }
  ArmTimer(context);
  OnHostsChanged(context);
}

void OnShardReady(Context& context, const ShardId& shard) {
  const auto found = context.state.requests.shards.find(shard);
  if (found != context.state.requests.shards.end()) {
    Dispatch(context, shard);
  }
}

void OnShardLost(Context& context, const ShardId& shard) {
  FailPendingIntents(context, shard);
  const auto found = context.state.requests.shards.find(shard);
  if (found == context.state.requests.shards.end()) {
    return;
  }
  for (ClassQueue& queue : found->second.queues) {
    while (!queue.requests.empty()) {
      const RequestPtr request(&*queue.requests.begin());
      Dequeue(context, found->second, *request);
      Finish(context, request, {ErrorKind::kNotOwner, shard.value, nullptr});
    }
  }
}

void OnPeerLost(Context& context, const NodeName& peer) {
  SettleCallsOfLostOwner(context, peer);
}

Duration UnsettledTime(const Context& context, const ShardId& shard) {
  const auto found = context.state.requests.shards.find(shard);
  if (found == context.state.requests.shards.end()) {
    return Duration::zero();
  }
  const MinionShard& minions = found->second;
  TimePoint settled =
      std::max(minions.open_held_until, minions.reserved_held_until);
  if (!minions.held.empty()) {
    settled = std::max(settled, minions.held.rbegin()->first);
  }
  return std::max(settled - context.now, Duration::zero());
}

bool IsShardIdle(const Context& context, const ShardId& shard) {
  const auto& requests = context.state.requests.requests;
  return std::none_of(
      requests.begin(), requests.end(),
      [&shard](const auto& entry) { return entry.second->shard == shard; });
}

bool IsIdle(const Context& context) {
  return context.state.requests.requests.empty() &&
         context.state.requests.remote_requests.empty() &&
         !HasKeyWaiters(context);
}

}  // namespace basilspread::internal::requests
