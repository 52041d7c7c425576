#include "internal/requests_retries.h"

#include <algorithm>

#include "internal/requests_run_time.h"

namespace basilspread::internal::requests {
namespace {

constexpr double kPercent = 100;

/// Size of the token bucket: retries that a route may make in one burst.
constexpr double kMaxRetryTokens = 10;

bool HasOtherMinion(const Context& context, const Request& request) {
  const MinionShard& shard = context.state.requests.shards.at(request.shard);
  for (const auto& [name, minion] : shard.minions) {
    const bool is_usable =
        !minion.leaving && minion.health.phase != HealthPhase::kEjected;
    const bool was_tried = std::find(request.attempted_hosts.begin(),
                                     request.attempted_hosts.end(),
                                     name) != request.attempted_hosts.end();
    if (is_usable && !was_tried) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Algorithm: a token bucket filled by requests, which limits retries to a fixed
// share of the requests even when all attempts fail.
void AddRetryTokens(Context& context, const Route& route) {
  RouteLoad& load = context.state.requests.routes[route.name];
  if (!load.has_retry_tokens) {
    load.has_retry_tokens = true;
    load.retry_tokens = kMaxRetryTokens;
    return;
  }
  load.retry_tokens =
      std::min(load.retry_tokens + route.retry_budget_percent / kPercent,
               kMaxRetryTokens);
}

bool MayRetry(const Context& context, const Route& route,
              const Request& request) {
  const auto load = context.state.requests.routes.find(route.name);
  const bool has_budget = load != context.state.requests.routes.end() &&
                          load->second.retry_tokens >= 1;
  const bool has_time =
      context.now + OptimisticRunTime(context, route) < request.deadline;
  return request.attempt.value <= route.retries && has_budget && has_time &&
         HasOtherMinion(context, request);
}

void TakeRetryToken(Context& context, const Route& route) {
  context.state.requests.routes[route.name].retry_tokens -= 1;
}

}  // namespace basilspread::internal::requests
