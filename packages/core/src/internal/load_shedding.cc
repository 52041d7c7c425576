#include "internal/load_shedding.h"

#include <algorithm>

#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/queue_tables.h"

namespace basilspread::internal::load_shedding {
namespace {

/// Share of the shortest target latency that queueing may use up; the rest is
/// needed for the append, the advice and the start.
constexpr double kDelayShare = 0.5;
/// Used when the tables set no target latency.
constexpr Duration kDefaultTarget = std::chrono::seconds(1);
/// Callers retry no sooner than this; otherwise half of the 3 s that they wait
/// for an answer would be spent on retries.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// The queue needs its delay to drain, and as much may arrive meanwhile.
constexpr int kDrainFactor = 2;
/// Retries are spread over this time.
constexpr Duration kRetrySpread = std::chrono::seconds(1);

struct Targets {
  Duration shortest = Duration::max();
  Duration longest{};
};

Targets FindTargets(const Context& context) {
  Targets targets;
  const auto& tables = context.state.submissions.tables.tables;
  if (tables) {
    for (const QueueRoute& route : tables->routes) {
      const Duration target = route.policy.target_latency;
      if (target > Duration::zero()) {
        targets.shortest = std::min(targets.shortest, target);
        targets.longest = std::max(targets.longest, target);
      }
    }
  }
  if (targets.longest == Duration::zero()) {
    return {kDefaultTarget, kDefaultTarget};
  }
  return targets;
}

Duration RetryAfter(Context& context, Duration delay) {
  const auto spread = static_cast<std::int64_t>(context.state.random.NextBelow(
      static_cast<std::uint64_t>(kRetrySpread.count())));
  return std::max(kMinRetryAfter, delay * kDrainFactor) + Duration(spread);
}

bool HearsLeader(const Context& context) {
  return context.state.submissions.leadership.leader &&
         !leadership::MissesLeader(context);
}

}  // namespace

std::optional<Duration> RefuseFor(Context& context, const QueueRoute& route,
                                  bool is_beyond_share) {
  const Duration delay = own_load::StandingDelay(context);
  if (delay <= Duration::zero()) {
    return std::nullopt;
  }
  const Targets targets = FindTargets(context);
  const double pressure =
      std::chrono::duration<double>(delay) /
      (std::chrono::duration<double>(targets.shortest) * kDelayShare);
  const Duration target =
      std::max(route.policy.target_latency, targets.shortest);
  // The longer the queueing delay, the shorter the targets that are refused.
  const bool has_slack = std::chrono::duration<double>(target) * pressure >
                         std::chrono::duration<double>(targets.longest);
  if (pressure <= 1 || !(has_slack || is_beyond_share)) {
    return std::nullopt;
  }
  return RetryAfter(context, delay);
}

std::optional<Duration> RefuseAtEntry(Context& context, const RouteName& name,
                                      const WorkspaceName& workspace) {
  auto& refused = context.state.submissions.refused_until;
  const auto until = refused.find({name, workspace});
  if (until != refused.end()) {
    const bool is_over = context.now >= until->second;
    if (!is_over && HearsLeader(context)) {
      return std::max(until->second - context.now, kMinRetryAfter);
    }
    refused.erase(until);
  }
  const QueueRoute* route = queue_tables::Find(context, name);
  return route == nullptr ? std::nullopt : RefuseFor(context, *route);
}

void OnLeaderRefused(Context& context, const RouteName& route,
                     const WorkspaceName& workspace, Duration retry_after) {
  TimePoint& until =
      context.state.submissions.refused_until[{route, workspace}];
  until = std::max(until, context.now + retry_after);
}

}  // namespace basilspread::internal::load_shedding
