#include "internal/requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "internal/configuration.h"
#include "internal/membership.h"
#include "internal/ownership.h"

namespace basilspread::internal::requests {
namespace {

/// Where a request can be queued: an owner and what it last said.
struct ShardOption {
  ShardId shard;
  /// Unset for this process itself.
  std::optional<NodeName> owner;
  std::int64_t free_slots = 0;
};

void Answer(Context& context, const RequestKey& key, ErrorKind kind,
            std::string detail, PayloadPtr payload) {
  if (key.origin == context.state.settings.self) {
    context.Emit(
        AnswerCaller{key.call, kind, std::move(detail), std::move(payload)});
    return;
  }
  ForwardAnswer answer;
  answer.call = key.call;
  answer.kind = kind;
  answer.detail = std::move(detail);
  answer.payload = std::move(payload);
  context.Emit(SendToPeer{key.origin.node, std::move(answer)});
}

void Finish(Context& context, const RequestPtr& request, ErrorKind kind,
            std::string detail, PayloadPtr payload) {
  if (request->is_linked()) {
    request->unlink();
    --context.state.requests.shards[request->shard].queued;
  }
  Answer(context, request->key, kind, std::move(detail), std::move(payload));
  context.state.requests.requests.erase(request->key);
}

std::vector<const Minion*> FreeMinions(const MinionShard& shard) {
  std::vector<const Minion*> free;
  for (const auto& [name, minion] : shard.minions) {
    if (!minion.leaving && minion.busy < minion.slots) {
      free.push_back(&minion);
    }
  }
  return free;
}

const Route* FindRoute(const Context& context, const RouteName& name) {
  const auto& routes = context.state.configuration.tables.routes;
  const auto found = routes.find(name);
  return found == routes.end() ? nullptr : &found->second;
}

const Minion* ChooseMinion(Context& context, const Route& route,
                           const MinionShard& shard) {
  const std::vector<const Minion*> free = FreeMinions(shard);
  if (free.empty()) {
    return nullptr;
  }
  return context.state.hooks.minion_choices.at(route.choice)(
      free, context.state.random);
}

void SendTo(Context& context, const Route& route, MinionShard& shard,
            Request& request, const HostName& host) {
  Minion& minion = shard.minions.at(host);
  ++minion.busy;
  request.host = host;
  ++request.attempt.value;
  SendToMinion send;
  send.request = request.key;
  send.attempt = request.attempt;
  send.host = host;
  send.address = minion.address;
  send.idempotent = route.idempotent;
  send.not_after = request.deadline;
  send.deadline = request.deadline;
  send.payload = request.payload;
  context.Emit(std::move(send));
}

/// Starts waiting requests while slots are free.
void Dispatch(Context& context, MinionShard& shard) {
  while (!shard.queue.empty()) {
    Request& request = shard.queue.front();
    const Route* route = FindRoute(context, request.route);
    if (route == nullptr) {
      Finish(context, &request, ErrorKind::kUnknownRoute, "", nullptr);
      continue;
    }
    const Minion* minion = ChooseMinion(context, *route, shard);
    if (minion == nullptr) {
      return;
    }
    shard.queue.pop_front();
    --shard.queued;
    SendTo(context, *route, shard, request, minion->name);
  }
}

void Enqueue(Context& context, const RequestPtr& request) {
  MinionShard& shard = context.state.requests.shards[request->shard];
  context.state.requests.requests.emplace(request->key, request);
  shard.queue.push_back(*request);
  ++shard.queued;
  Dispatch(context, shard);
}

std::vector<ShardOption> OptionsFor(const Context& context,
                                    const PoolName& pool) {
  std::vector<ShardOption> options;
  for (const auto& [id, ownership] : context.state.ownership.shards) {
    if (ownership.pool == pool && ownership.owned_by_self) {
      ShardOption option{id, std::nullopt, 0};
      const auto shard = context.state.requests.shards.find(id);
      if (shard != context.state.requests.shards.end()) {
        for (const auto& [name, minion] : shard->second.minions) {
          option.free_slots += minion.slots - minion.busy;
        }
        option.free_slots -= shard->second.queued;
      }
      options.push_back(option);
    }
  }
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (!membership::IsLive(context, peer) || !peer.connected) {
      continue;
    }
    for (const ShardReport& report : peer.last_heartbeat.shards) {
      const auto known = context.state.ownership.shards.find(report.shard);
      if (known == context.state.ownership.shards.end() ||
          known->second.pool != pool || known->second.owned_by_self) {
        continue;
      }
      const std::int64_t free = static_cast<std::int64_t>(report.free_slots) -
                                static_cast<std::int64_t>(report.queued);
      options.push_back(ShardOption{report.shard, node, free});
    }
  }
  return options;
}

/// The better of two random options. Algorithm: the power of two choices
/// (Mitzenmacher, 2001); it keeps processes that all hold the same slightly
/// old reports from all choosing the same shard.
const ShardOption& ChooseShard(Context& context,
                               const std::vector<ShardOption>& options) {
  const auto& first = options[context.state.random.Below(options.size())];
  const auto& second = options[context.state.random.Below(options.size())];
  return second.free_slots > first.free_slots ? second : first;
}

void PassOn(Context& context, const RequestArrived& event,
            const ShardOption& option, TimePoint deadline) {
  RemoteRequest remote;
  remote.call = event.call;
  remote.owner = *option.owner;
  remote.route = event.route;
  remote.deadline = deadline;
  context.state.requests.remote.emplace(event.call, remote);
  ForwardRequest forward;
  forward.call = event.call;
  forward.shard = option.shard;
  forward.route = event.route;
  forward.team = event.team;
  forward.idempotency_key = event.idempotency_key;
  forward.time_left = deadline - context.now;
  forward.payload = event.payload;
  context.Emit(SendToPeer{*option.owner, std::move(forward)});
}

Duration DeadlineOf(const RequestArrived& event, const Route& route) {
  const bool has_own = event.deadline > Duration::zero();
  return has_own ? std::min(event.deadline, route.deadline) : route.deadline;
}

void Expire(Context& context) {
  std::vector<RequestPtr> expired;
  for (const auto& [key, request] : context.state.requests.requests) {
    if (request->is_linked() && request->deadline <= context.now) {
      expired.push_back(request);
    }
  }
  for (const RequestPtr& request : expired) {
    Finish(context, request, ErrorKind::kDeadlinePassed, "", nullptr);
  }
}

/// Time after a forwarded request's deadline in which its answer may come.
constexpr Duration kForwardGrace = std::chrono::milliseconds(500);

void ExpireRemote(Context& context) {
  std::vector<CallId> expired;
  for (const auto& [call, remote] : context.state.requests.remote) {
    if (remote.deadline + kForwardGrace <= context.now) {
      expired.push_back(call);
    }
  }
  for (const CallId call : expired) {
    context.state.requests.remote.erase(call);
    context.Emit(AnswerCaller{call, ErrorKind::kOutcomeUnknown,
                              "the owner gave no answer", nullptr});
  }
}

constexpr Duration kExpiryInterval = std::chrono::milliseconds(50);

}  // namespace

void OnArrived(Context& context, const RequestArrived& event) {
  const RequestKey key{context.state.settings.self, event.call};
  if (context.state.stopping) {
    Answer(context, key, ErrorKind::kStopping, "", nullptr);
    return;
  }
  if (!configuration::IsReady(context)) {
    Answer(context, key, ErrorKind::kNotReady, "", nullptr);
    return;
  }
  const Route* route = FindRoute(context, event.route);
  if (route == nullptr || route->draining) {
    Answer(context, key, ErrorKind::kUnknownRoute, event.route.value, nullptr);
    return;
  }
  const std::vector<ShardOption> options = OptionsFor(context, route->pool);
  if (options.empty()) {
    Answer(context, key, ErrorKind::kNoHost, route->pool.value, nullptr);
    return;
  }
  const TimePoint deadline = context.now + DeadlineOf(event, *route);
  const ShardOption& option = ChooseShard(context, options);
  if (option.owner) {
    PassOn(context, event, option, deadline);
    return;
  }
  RequestPtr request(new Request);
  request->key = key;
  request->shard = option.shard;
  request->route = event.route;
  request->team = event.team;
  request->idempotency_key = event.idempotency_key;
  request->arrived = context.now;
  request->deadline = deadline;
  request->payload = event.payload;
  Enqueue(context, request);
  context.ArmIn(TimerKind::kRequests, kExpiryInterval);
}

void OnCallerGone(Context& context, const CallerGone& event) {
  const RequestKey key{context.state.settings.self, event.call};
  const auto found = context.state.requests.requests.find(key);
  if (found != context.state.requests.requests.end() &&
      found->second->is_linked()) {
    Finish(context, found->second, ErrorKind::kCancelled, "", nullptr);
  }
}

void OnForwarded(Context& context, const ProcessId& from,
                 const ForwardRequest& message) {
  const RequestKey key{from, message.call};
  if (!ownership::TakesWork(context, message.shard)) {
    Answer(context, key, ErrorKind::kNotOwner, message.shard.value, nullptr);
    return;
  }
  if (FindRoute(context, message.route) == nullptr) {
    Answer(context, key, ErrorKind::kUnknownRoute, message.route.value,
           nullptr);
    return;
  }
  RequestPtr request(new Request);
  request->key = key;
  request->shard = message.shard;
  request->route = message.route;
  request->team = message.team;
  request->idempotency_key = message.idempotency_key;
  request->arrived = context.now;
  request->deadline = context.now + message.time_left;
  request->payload = message.payload;
  Enqueue(context, request);
  context.ArmIn(TimerKind::kRequests, kExpiryInterval);
}

void OnForwardAnswered(Context& context, const ForwardAnswer& message) {
  const auto found = context.state.requests.remote.find(message.call);
  if (found == context.state.requests.remote.end()) {
    return;
  }
  context.state.requests.remote.erase(found);
  context.Emit(AnswerCaller{message.call, message.kind, message.detail,
                            message.payload});
}

void OnMinionAnswered(Context& context, const MinionAnswered& event) {
  const auto found = context.state.requests.requests.find(event.request);
  if (found == context.state.requests.requests.end() ||
      found->second->attempt != event.attempt) {
    return;
  }
  const RequestPtr request = found->second;
  MinionShard& shard = context.state.requests.shards[request->shard];
  const auto minion = shard.minions.find(event.host);
  if (minion != shard.minions.end() && minion->second.busy > 0) {
    --minion->second.busy;
  }
  switch (event.result) {
    case MinionResult::kAnswered:
      Finish(context, request, ErrorKind::kNone, "", event.payload);
      break;
    case MinionResult::kNotSent:
      Finish(context, request, ErrorKind::kMinionRefused, event.host.value,
             nullptr);
      break;
    case MinionResult::kLost:
      Finish(context, request, ErrorKind::kOutcomeUnknown, event.host.value,
             nullptr);
      break;
  }
  Dispatch(context, shard);
}

void OnTimer(Context& context) {
  Expire(context);
  ExpireRemote(context);
  const RequestsState& requests = context.state.requests;
  if (!requests.requests.empty() || !requests.remote.empty()) {
    context.ArmIn(TimerKind::kRequests, kExpiryInterval);
  }
}

void OnHostsChanged(Context& context) {
  const Tables& tables = context.state.configuration.tables;
  std::set<HostName> seen;
  for (const auto& [name, host] : context.state.hosts.hosts) {
    for (const auto& [pool_name, pool] : tables.pools) {
      if (pool.kind != PoolKind::kMinions || pool.group != host.group) {
        continue;
      }
      const ShardId shard = ownership::ShardOf(pool, host);
      if (!ownership::OwnsShard(context, shard)) {
        continue;
      }
      Minion& minion = context.state.requests.shards[shard].minions[name];
      minion.name = name;
      minion.address = host.address;
      minion.slots = host.slots;
      minion.leaving = host.leaving;
      seen.insert(name);
    }
  }
  for (auto& [id, shard] : context.state.requests.shards) {
    for (auto& [name, minion] : shard.minions) {
      if (!seen.contains(name)) {
        minion.leaving = true;
      }
    }
    Dispatch(context, shard);
  }
}

void OnShardGained(Context& context, const ShardId& /*shard*/,
                   TakeoverKind /*kind*/) {
  OnHostsChanged(context);
}

void OnShardReady(Context& context, const ShardId& shard) {
  const auto found = context.state.requests.shards.find(shard);
  if (found != context.state.requests.shards.end()) {
    Dispatch(context, found->second);
  }
}

void OnShardLost(Context& context, const ShardId& shard) {
  const auto found = context.state.requests.shards.find(shard);
  if (found == context.state.requests.shards.end()) {
    return;
  }
  while (!found->second.queue.empty()) {
    Finish(context, &found->second.queue.front(), ErrorKind::kNotOwner,
           shard.value, nullptr);
  }
}

void OnPeerLost(Context& context, const NodeName& peer) {
  std::vector<CallId> lost;
  for (const auto& [call, remote] : context.state.requests.remote) {
    if (remote.owner == peer) {
      lost.push_back(call);
    }
  }
  for (const CallId call : lost) {
    context.state.requests.remote.erase(call);
    context.Emit(AnswerCaller{call, ErrorKind::kOutcomeUnknown,
                              "the owner was lost", nullptr});
  }
}

bool IsShardIdle(const Context& context, const ShardId& shard) {
  const auto& requests = context.state.requests.requests;
  return std::none_of(
      requests.begin(), requests.end(),
      [&shard](const auto& entry) { return entry.second->shard == shard; });
}

bool IsIdle(const Context& context) {
  return context.state.requests.requests.empty() &&
         context.state.requests.remote.empty();
}

}  // namespace basilspread::internal::requests
