#include "internal/requests_ejection.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/requests_minions.h"
#include "internal/requests_slots.h"

namespace basilspread::internal::requests {
namespace {

constexpr std::string_view kPart = "requests";
/// Weight of the newest outcome in the moving average.
constexpr double kOutcomeWeight = 0.2;
/// Number of consecutive failures that ejects a minion.
constexpr std::uint32_t kMaxConsecutiveFailures = 3;
/// Failure rate that ejects a minion after at least kMinOutcomes outcomes.
constexpr double kMaxFailureRate = 0.5;
constexpr std::uint32_t kMinOutcomes = 10;
/// A minion is ejected only if its failure rate exceeds the mean of the others
/// by this factor; failures that affect all minions are not its fault.
constexpr double kOutlierFactor = 2;
constexpr std::uint32_t kMaxEjectedPercent = 30;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(30);

double MeanFailureRateOfOthers(const MinionShard& shard, const HostName& host) {
  double sum = 0;
  std::uint32_t count = 0;
  for (const auto& [name, minion] : shard.minions) {
    if (name != host && !minion.leaving) {
      sum += minion.health.failure_rate;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

bool MayEject(const MinionShard& shard) {
  std::uint32_t present = 0;
  for (const auto& [name, minion] : shard.minions) {
    present += minion.leaving ? 0 : 1;
  }
  constexpr std::uint32_t kPercent = 100;
  const std::uint32_t share = present * kMaxEjectedPercent / kPercent;
  const std::uint32_t limit = present > 1 ? std::max(share, 1U) : 0;
  return shard.ejected < limit;
}

bool IsOutlier(const MinionShard& shard, const Minion& minion) {
  const MinionHealth& health = minion.health;
  const bool fails_in_a_row =
      health.consecutive_failures >= kMaxConsecutiveFailures;
  const bool fails_often =
      health.outcomes >= kMinOutcomes && health.failure_rate >= kMaxFailureRate;
  if (!fails_in_a_row && !fails_often) {
    return false;
  }
  const double others = MeanFailureRateOfOthers(shard, minion.name);
  return health.failure_rate > kOutlierFactor * others;
}

void EnterPhase(MinionHealth& health, HealthPhase phase,
                std::uint32_t concurrency_limit) {
  health.phase = phase;
  health.outcomes = 0;
  health.concurrency_limit = concurrency_limit;
}

void Eject(Context& context, MinionShard& shard, Minion& minion) {
  MinionHealth& health = minion.health;
  const Duration next = health.ejection_time * 2;
  health.ejection_time = std::clamp(next, kBaseEjectionTime, kMaxEjectionTime);
  health.ejected_until = context.now + health.ejection_time;
  EnterPhase(health, HealthPhase::kEjected, 0);
  CountCapacity(shard);
  context.Log(
      LogLevel::kWarning, kPart, "Minion ejected because its requests failed.",
      {{"minion", minion.name.value}, {"for_ms", health.ejection_time}});
}

/// Doubles the concurrency limit after as many consecutive successes as it
/// allows; the minion is healthy once the limit reaches its slots.
void AdvanceRecovery(Context& context, Minion& minion) {
  MinionHealth& health = minion.health;
  if (health.outcomes < health.concurrency_limit) {
    return;
  }
  const std::uint32_t concurrency_limit = health.concurrency_limit * 2;
  if (concurrency_limit < TotalSlots(minion)) {
    EnterPhase(health, HealthPhase::kRecovering, concurrency_limit);
    return;
  }
  EnterPhase(health, HealthPhase::kHealthy, 0);
  health.failure_rate = 0;
  health.ejection_time = Duration::zero();
  context.Log(LogLevel::kInfo, kPart,
              "Minion recovered; all its slots are eligible again.",
              {{"minion", minion.name.value}});
}

}  // namespace

void RecordMinionOutcome(Context& context, MinionShard& shard,
                         const HostName& host, bool failed) {
  const auto found = shard.minions.find(host);
  if (found == shard.minions.end()) {
    return;
  }
  Minion& minion = found->second;
  MinionHealth& health = minion.health;
  ++health.outcomes;
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  health.failure_rate +=
      ((failed ? 1.0 : 0.0) - health.failure_rate) * kOutcomeWeight;
  switch (health.phase) {
    case HealthPhase::kHealthy:
      if (failed && IsOutlier(shard, minion) && MayEject(shard)) {
        Eject(context, shard, minion);
      }
      return;
    case HealthPhase::kEjected:
      return;
    case HealthPhase::kProbing:
    case HealthPhase::kRecovering:
      if (failed) {
        Eject(context, shard, minion);
      } else {
        AdvanceRecovery(context, minion);
      }
      return;
  }
}

void EndEjections(Context& context, MinionShard& shard, bool can_probe) {
  for (auto& [name, minion] : shard.minions) {
    const bool is_due = minion.health.phase == HealthPhase::kEjected &&
                        minion.health.ejected_until <= context.now;
    if (is_due) {
      EnterPhase(minion.health,
                 can_probe ? HealthPhase::kProbing : HealthPhase::kRecovering,
                 1);
      ClearSaturation(shard);
    }
  }
  CountCapacity(shard);
}

}  // namespace basilspread::internal::requests
