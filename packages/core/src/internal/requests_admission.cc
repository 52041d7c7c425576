#include "internal/requests_admission.h"

#include <algorithm>

#include "internal/requests_answer.h"
#include "internal/requests_dispatch.h"
#include "internal/requests_queue.h"
#include "internal/requests_retries.h"
#include "internal/requests_run_time.h"

namespace basilspread::internal::requests {
namespace {

constexpr std::uint32_t kPercent = 100;

bool IsQueueFull(const Context& context, const Route& route) {
  const auto load = context.state.requests.routes.find(route.name);
  return load != context.state.requests.routes.end() &&
         load->second.queued >= route.queue_limit;
}

bool IsTeamShareFull(const Context& context, const Route& route,
                     const TeamName& team) {
  const auto load = context.state.requests.routes.find(route.name);
  if (load == context.state.requests.routes.end()) {
    return false;
  }
  const auto queued = load->second.queued_by_team.find(team);
  if (queued == load->second.queued_by_team.end()) {
    return false;
  }
  const std::uint64_t share =
      std::uint64_t{route.queue_limit} * route.team_share_percent / kPercent;
  return queued->second >= std::max<std::uint64_t>(share, 1);
}

/// The reason to refuse the request now; kind kNone when it is admitted.
Outcome Refusal(const Context& context, const Route& route,
                const MinionShard& shard, const Request& request) {
  if (shard.open_capacity + shard.reserved_capacity == 0) {
    return {ErrorKind::kNoHost, request.shard.value, nullptr};
  }
  const Duration wait = ExpectedWait(context, shard, route.service_class);
  const bool is_admitted = context.state.hooks.admission_rules.at(
      route.admission)(wait, OptimisticRunTime(context, route),
                       request.deadline - context.now);
  if (!is_admitted) {
    return {ErrorKind::kDeadlineTooShort, "", nullptr};
  }
  if (IsQueueFull(context, route)) {
    return {ErrorKind::kQueueFull, "", nullptr};
  }
  if (IsTeamShareFull(context, route, request.team)) {
    return {ErrorKind::kQueueFull, "the team holds its share", nullptr};
  }
  return {};
}

}  // namespace

void Admit(Context& context, const Route& route, const RequestPtr& request) {
  RequestsState& requests = context.state.requests;
  MinionShard& shard = requests.shards[request->shard];
  request->service_class = route.service_class;
  request->idempotent = route.idempotent;
  request->arrived = context.now;
  Outcome refusal = Refusal(context, route, shard, *request);
  if (refusal.kind != ErrorKind::kNone) {
    Answer(
        context, request->key, request->forward_attempt,
        AccountForEarlierAttempts(std::move(refusal), request->may_have_run));
    return;
  }
  AddRetryTokens(context, route);
  requests.requests.emplace(request->key, request);
  Enqueue(context, route, shard, *request);
  Dispatch(context, request->shard);
}

}  // namespace basilspread::internal::requests
