#include "internal/requests_forwarding.h"

#include <optional>
#include <utility>
#include <vector>

#include "internal/requests_admission.h"
#include "internal/requests_answer.h"
#include "internal/requests_dispatch.h"
#include "internal/requests_keys.h"
#include "internal/requests_shard_choice.h"

namespace basilspread::internal::requests {
namespace {

/// Maximum number of times that one call is forwarded.
constexpr std::uint32_t kMaxForwards = 16;

/// Maximum time that a call waits for its shard to have an owner.
constexpr Duration kMaxOwnerWait = std::chrono::seconds(5);
constexpr Duration kOwnerRetryInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxCallsAwaitingOwner = 1024;

/// Time after a forwarded request's deadline in which its answer is accepted.
constexpr Duration kForwardGrace = std::chrono::milliseconds(500);

bool IsLong(const Context& context, const RemoteRequest& call) {
  const Route* route = FindRoute(context, call.route);
  return route != nullptr && route->service_class == ServiceClass::kLong;
}

void Untrack(Context& context, RemoteRequest& call) {
  call.ExpiryHook::unlink();
  context.state.requests.remote_requests.erase(call.call);
}

/// Ends a call with the outcome of the owner that handled it.
void SettleByOwner(Context& context, const RemoteRequestPtr& call,
                   Outcome outcome) {
  Untrack(context, *call);
  Answer(context, RequestKey{context.state.settings.self, call->call}, 0,
         AccountForEarlierAttempts(std::move(outcome), call->may_have_run));
}

/// Ends a call that no owner has settled. Under an idempotency key it counts as
/// possibly run, since only the owner of the key knows whether it has run.
void Settle(Context& context, const RemoteRequestPtr& call, Outcome outcome) {
  call->may_have_run = call->may_have_run || !call->idempotency_key.empty();
  SettleByOwner(context, call, std::move(outcome));
}

void Track(Context& context, const RemoteRequestPtr& call) {
  if (!call->ExpiryHook::is_linked()) {
    context.state.requests.remote_requests.emplace(call->call, call);
    context.state.requests.remote_expiry.insert(*call);
  }
}

void Forward(Context& context, const RemoteRequestPtr& call,
             const ShardOption& option) {
  call->owner = *option.owner;
  call->shard = option.shard;
  ++call->forward_attempt;
  ForwardRequest forward;
  forward.call = call->call;
  forward.attempt = call->forward_attempt;
  forward.shard = option.shard;
  forward.route = call->route;
  forward.team = call->team;
  forward.idempotency_key = call->idempotency_key;
  forward.time_left = call->deadline - context.now;
  forward.payload = call->payload;
  CountForwarded(context, *option.owner, option.shard, IsLong(context, *call));
  context.Emit(SendToPeer{*option.owner, std::move(forward)});
  Track(context, call);
}

bool MayAwaitOwner(const Context& context, const RemoteRequest& call) {
  return context.now < call.deadline &&
         context.now - call.arrived < kMaxOwnerWait &&
         context.state.requests.awaiting_owner.size() < kMaxCallsAwaitingOwner;
}

void AwaitOwner(Context& context, const RemoteRequestPtr& call) {
  call->owner = NodeName{};
  context.state.requests.awaiting_owner.emplace(
      context.now + kOwnerRetryInterval, call->call);
  Track(context, call);
}

void HandleLocally(Context& context, const Route& route,
                   const RemoteRequestPtr& call, const ShardId& shard) {
  Untrack(context, *call);
  const RequestKey key{context.state.settings.self, call->call};
  if (!call->idempotency_key.empty()) {
    SubmitUnderKey(
        context, route,
        IdempotencyKey{shard, call->route, call->team, call->idempotency_key},
        IdempotencyWaiter{key, 0, call->deadline, call->may_have_run},
        call->payload);
    return;
  }
  RequestPtr request(new Request);
  request->key = key;
  request->shard = shard;
  request->route = call->route;
  request->team = call->team;
  request->deadline = call->deadline;
  request->payload = call->payload;
  request->may_have_run = call->may_have_run;
  Admit(context, route, request);
}

/// Chooses the shard for a call. A call under a key always goes to the shard of
/// the key, whichever process received it.
std::optional<ShardOption> ChooseFor(Context& context, const Route& route,
                                     const RemoteRequest& call) {
  if (call.idempotency_key.empty()) {
    return ChooseShard(context, route, call.shard);
  }
  const Pool& pool = context.state.configuration.tables.pools.at(route.pool);
  return FindOwner(context, KeyShard(pool, call.idempotency_key));
}

/// Submits the call to the owner of a shard other than its last one; false when
/// there is none.
bool TrySubmit(Context& context, const Route& route,
               const RemoteRequestPtr& call) {
  const std::optional<ShardOption> option = ChooseFor(context, route, *call);
  if (!option) {
    return false;
  }
  if (option->owner) {
    Forward(context, call, *option);
  } else {
    HandleLocally(context, route, call, option->shard);
  }
  return true;
}

/// Submits the call again while its deadline and kMaxForwards allow it;
/// otherwise ends it with `outcome`.
void TryAgain(Context& context, const RemoteRequestPtr& call, Outcome outcome) {
  const Route* route = FindRoute(context, call->route);
  const bool has_tries = call->forward_attempt < kMaxForwards;
  if (route != nullptr && has_tries && context.now < call->deadline) {
    // A key has only one owner, which may not yet know that it owns the shard.
    const bool has_choice = call->idempotency_key.empty();
    if (has_choice && TrySubmit(context, *route, call)) {
      return;
    }
    if (MayAwaitOwner(context, *call)) {
      AwaitOwner(context, call);
      return;
    }
  }
  Settle(context, call, std::move(outcome));
}

RemoteRequestPtr FindCall(const Context& context, CallId id,
                          const NodeName& owner, std::uint32_t attempt) {
  const auto found = context.state.requests.remote_requests.find(id);
  const bool is_current =
      found != context.state.requests.remote_requests.end() &&
      found->second->owner == owner &&
      found->second->forward_attempt == attempt;
  return is_current ? found->second : nullptr;
}

}  // namespace

void Submit(Context& context, const RemoteRequestPtr& call) {
  const Route* route = FindRoute(context, call->route);
  if (route == nullptr) {
    Settle(context, call,
           {ErrorKind::kUnknownRoute, call->route.value, nullptr});
    return;
  }
  const bool has_hosts =
      context.state.requests.populated_shards.contains(route->pool);
  if (!has_hosts) {
    Settle(context, call, {ErrorKind::kNoHost, route->pool.value, nullptr});
    return;
  }
  if (TrySubmit(context, *route, call)) {
    return;
  }
  if (MayAwaitOwner(context, *call)) {
    AwaitOwner(context, call);
    return;
  }
  Settle(context, call, {ErrorKind::kNoHost, "no owner is known", nullptr});
}

void SettleForward(Context& context, const ProcessId& from,
                   const ForwardAnswer& message) {
  const RemoteRequestPtr call =
      FindCall(context, message.call, from.node, message.attempt);
  if (!call) {
    return;
  }
  CountReturned(context, call->owner, call->shard, IsLong(context, *call));
  Outcome outcome{message.kind, message.detail, message.payload};
  const bool has_moved = message.kind == ErrorKind::kNotOwner ||
                         message.kind == ErrorKind::kNoHost;
  if (has_moved) {
    TryAgain(context, call, std::move(outcome));
    return;
  }
  SettleByOwner(context, call, std::move(outcome));
}

void RetryUnsent(Context& context, const NodeName& peer,
                 const ForwardRequest& message) {
  const RemoteRequestPtr call =
      FindCall(context, message.call, peer, message.attempt);
  if (call) {
    TryAgain(context, call,
             {ErrorKind::kOwnerUnreachable, peer.value, nullptr});
  }
}

void SettleCallsOfLostOwner(Context& context, const NodeName& peer) {
  std::vector<RemoteRequestPtr> lost;
  for (const auto& [id, call] : context.state.requests.remote_requests) {
    if (call->owner == peer) {
      lost.push_back(call);
    }
  }
  for (const RemoteRequestPtr& call : lost) {
    Outcome unknown{ErrorKind::kOutcomeUnknown, "the owner was lost", nullptr};
    call->may_have_run = true;
    if (call->idempotent) {
      TryAgain(context, call, std::move(unknown));
    } else {
      Settle(context, call, std::move(unknown));
    }
  }
}

void ExpireForwards(Context& context) {
  auto& expiry = context.state.requests.remote_expiry;
  while (!expiry.empty() &&
         expiry.begin()->deadline + kForwardGrace <= context.now) {
    const RemoteRequestPtr call(&*expiry.begin());
    if (call->owner.value.empty()) {
      Settle(context, call, {ErrorKind::kDeadlinePassed, "", nullptr});
    } else {
      Settle(context, call,
             {ErrorKind::kOutcomeUnknown, "the owner gave no answer", nullptr});
    }
  }
}

void RetryCallsAwaitingOwner(Context& context) {
  auto& awaiting_owner = context.state.requests.awaiting_owner;
  while (!awaiting_owner.empty() &&
         awaiting_owner.begin()->first <= context.now) {
    const CallId id = awaiting_owner.begin()->second;
    awaiting_owner.erase(awaiting_owner.begin());
    const auto found = context.state.requests.remote_requests.find(id);
    const bool is_awaiting_owner =
        found != context.state.requests.remote_requests.end() &&
        found->second->owner.value.empty();
    if (is_awaiting_owner) {
      const RemoteRequestPtr call = found->second;
      call->shard = ShardId{};
      Submit(context, call);
    }
  }
}

}  // namespace basilspread::internal::requests
