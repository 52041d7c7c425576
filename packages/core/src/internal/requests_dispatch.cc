#include "internal/requests_dispatch.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "internal/ownership.h"
#include "internal/requests_answer.h"
#include "internal/requests_ejection.h"
#include "internal/requests_queue.h"
#include "internal/requests_retries.h"
#include "internal/requests_run_time.h"
#include "internal/requests_slots.h"

namespace basilspread::internal::requests {
namespace {

/// Maximum number of queued requests that dispatch may skip because no free
/// minion may take them, for example after failures there.
constexpr int kMaxSkipped = 8;

constexpr int kFirstServerError = 500;

enum class StartResult { kStarted, kEnded, kNoSlot };

Minion* ChooseMinion(Context& context, const Route& route, MinionShard& shard,
                     const Request& request) {
  std::vector<const Minion*> candidates;
  for (const auto& [name, minion] : shard.minions) {
    if (FreeSlotFor(minion, request)) {
      candidates.push_back(&minion);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const Minion* chosen = context.state.hooks.minion_choices.at(route.choice)(
      candidates, shard.round_robin_count++, context.state.random);
  return &shard.minions.at(chosen->name);
}

void SendTo(Context& context, Request& request, const Minion& minion) {
  ++context.state.requests.routes[request.route].running;
  ++request.attempt.value;
  request.sent_at = context.now;
  SendToMinion send;
  send.request = request.key;
  send.attempt = request.attempt;
  send.host = minion.name;
  send.address = minion.address;
  send.idempotent = request.idempotent;
  send.not_after = std::min(
      request.deadline,
      ownership::MayActUntil(context, request.shard).value_or(context.now));
  send.deadline = request.deadline;
  send.payload = request.payload;
  context.Emit(std::move(send));
}

/// Whether the request could meet its deadline if it started now.
bool CanMakeDeadline(const Context& context, const Route& route,
                     const Request& request) {
  return context.state.hooks.admission_rules.at(route.admission)(
      Duration::zero(), OptimisticRunTime(context, route),
      request.deadline - context.now);
}

StartResult TryStart(Context& context, MinionShard& shard, Request& request) {
  const Route* route = FindRoute(context, request.route);
  if (route == nullptr) {
    Dequeue(context, shard, request);
    Finish(context, &request, {ErrorKind::kUnknownRoute, "", nullptr});
    return StartResult::kEnded;
  }
  if (!CanMakeDeadline(context, *route, request)) {
    Dequeue(context, shard, request);
    Finish(context, &request, {ErrorKind::kDeadlineTooShort, "", nullptr});
    return StartResult::kEnded;
  }
  Minion* minion = ChooseMinion(context, *route, shard, request);
  if (minion == nullptr) {
    return StartResult::kNoSlot;
  }
  Dequeue(context, shard, request);
  RecordWait(context, QueueOf(shard, request.service_class), request);
  TakeSlot(request, *minion, *FreeSlotFor(*minion, request));
  SendTo(context, request, *minion);
  return StartResult::kStarted;
}

/// The queue whose first request has the lowest rank; null when all are empty
/// or saturated.
ClassQueue* NextQueue(MinionShard& shard) {
  ClassQueue* next = nullptr;
  for (ClassQueue& queue : shard.queues) {
    if (queue.requests.empty() || queue.saturated) {
      continue;
    }
    const bool is_earlier = next == nullptr || queue.requests.begin()->rank <
                                                   next->requests.begin()->rank;
    if (is_earlier) {
      next = &queue;
    }
  }
  return next;
}

/// Starts or ends one request of the queue, or marks the queue as saturated.
void StartFrom(Context& context, MinionShard& shard, ClassQueue& queue) {
  int skipped = 0;
  auto next = queue.requests.begin();
  while (next != queue.requests.end() && skipped <= kMaxSkipped) {
    Request& request = *next;
    ++next;
    if (TryStart(context, shard, request) != StartResult::kNoSlot) {
      return;
    }
    ++skipped;
  }
  queue.saturated = true;
}

bool IsFailure(const MinionAnswered& event) {
  if (event.result == MinionResult::kAnswered) {
    return event.payload->status >= kFirstServerError;
  }
  return event.result != MinionResult::kNotSent;
}

Outcome OutcomeOf(const Context& context, const Request& request,
                  const MinionAnswered& event) {
  switch (event.result) {
    case MinionResult::kAnswered:
      return {ErrorKind::kNone, "", event.payload};
    case MinionResult::kNotSent:
      if (context.now >= request.deadline) {
        return {ErrorKind::kDeadlinePassed, "", nullptr};
      }
      if (!ownership::MayAct(context, request.shard)) {
        return {ErrorKind::kNotOwner, request.shard.value, nullptr};
      }
      return {ErrorKind::kQueueFull, "no traffic thread was free", nullptr};
    case MinionResult::kRefused:
      return {ErrorKind::kMinionRefused, event.host.value, nullptr};
    case MinionResult::kLost:
      break;
  }
  return {ErrorKind::kOutcomeUnknown, event.host.value, nullptr};
}

/// Whether the request may safely run again after an attempt with this result.
bool IsRetrySafe(const Request& request, const MinionAnswered& event) {
  const bool surely_not_run = event.result == MinionResult::kNotSent ||
                              event.result == MinionResult::kRefused;
  return surely_not_run || request.idempotent;
}

void FreeAttempt(Context& context, const Route* route, MinionShard& shard,
                 const Request& request, const MinionAnswered& event) {
  RouteLoad& load = context.state.requests.routes[request.route];
  --load.running;
  ReleaseSlot(shard, request);
  if (event.result == MinionResult::kLost && route != nullptr) {
    // The minion may still run the request although the connection is lost.
    const TimePoint until = request.sent_at + route->deadline;
    if (until > context.now) {
      HoldSlot(shard, request, until);
    }
  }
}

void RecordAttempt(Context& context, MinionShard& shard, Request& request,
                   const MinionAnswered& event) {
  request.attempted_hosts.push_back(event.host);
  if (event.result == MinionResult::kNotSent) {
    return;
  }
  const bool failed = IsFailure(event);
  RecordMinionOutcome(context, shard, event.host, failed);
  if (!failed) {
    RecordRunTime(context, request.route, event.run_time);
  }
  if (event.result != MinionResult::kRefused) {
    request.may_have_run = true;
  }
}

}  // namespace

const Route* FindRoute(const Context& context, const RouteName& name) {
  const auto& routes = context.state.configuration.tables.routes;
  const auto found = routes.find(name);
  return found == routes.end() ? nullptr : &found->second;
}

void Dispatch(Context& context, const ShardId& id) {
  if (!ownership::MayAct(context, id)) {
    return;
  }
  MinionShard& shard = context.state.requests.shards.at(id);
  while (ClassQueue* queue = NextQueue(shard)) {
    StartFrom(context, shard, *queue);
  }
}

void SettleAttempt(Context& context, const MinionAnswered& event) {
  RequestsState& requests = context.state.requests;
  const auto found = requests.requests.find(event.request);
  const bool is_current = found != requests.requests.end() &&
                          found->second->attempt == event.attempt &&
                          found->second->host == event.host;
  if (!is_current) {
    return;
  }
  const RequestPtr request = found->second;
  const Route* route = FindRoute(context, request->route);
  MinionShard& shard = requests.shards.at(request->shard);
  FreeAttempt(context, route, shard, *request, event);
  RecordAttempt(context, shard, *request, event);
  const bool is_retried = IsFailure(event) && route != nullptr &&
                          IsRetrySafe(*request, event) &&
                          MayRetry(context, *route, *request);
  if (is_retried) {
    TakeRetryToken(context, *route);
    Enqueue(context, *route, shard, *request);
  } else {
    Finish(context, request, OutcomeOf(context, *request, event));
  }
  Dispatch(context, request->shard);
}

}  // namespace basilspread::internal::requests
