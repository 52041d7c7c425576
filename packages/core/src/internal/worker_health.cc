#include "internal/worker_health.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/job_lookup.h"
#include "internal/placements.h"

namespace basilspread::internal::jobs::health {
namespace {

/// Consecutive failed starts that eject a worker.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(10);
constexpr Duration kLongestEjection = std::chrono::minutes(5);
constexpr std::uint32_t kMaxDoublings = 5;
/// Maximum share of a shard's workers that are ejected at once, in percent.
constexpr std::size_t kMaxEjectedPercent = 34;
constexpr std::size_t kPercent = 100;

bool MayEject(const JobShard& shard) {
  const auto is_ejected = [](const auto& entry) {
    return entry.second.ejected_until.has_value();
  };
  const auto ejected = static_cast<std::size_t>(
      std::count_if(shard.workers.begin(), shard.workers.end(), is_ejected));
  return (ejected + 1) * kPercent <= shard.workers.size() * kMaxEjectedPercent;
}

Duration EjectionFor(const Worker& worker) {
  const std::uint32_t doublings = std::min(worker.ejections, kMaxDoublings);
  return std::min(kFirstEjection * (1U << doublings), kLongestEjection);
}

}  // namespace

void OnStarted(const Context& context, JobShard& shard, Worker& worker) {
  worker.failures = 0;
  worker.ejections = 0;
  worker.on_probation = false;
  UpdateIndex(context, shard, worker);
}

void OnStartFailed(Context& context, JobShard& shard, Worker& worker) {
  ++worker.failures;
  const bool is_due =
      worker.on_probation || worker.failures >= kFailuresToEject;
  if (!is_due || worker.ejected_until || !MayEject(shard)) {
    return;
  }
  const Duration duration = EjectionFor(worker);
  ++worker.ejections;
  worker.ejected_until = context.now + duration;
  UpdateIndex(context, shard, worker);
  context.Log(
      LogLevel::kWarning, kPart,
      "Worker is ejected; it gets no tasks for a while.",
      {{"worker", worker.name.value},
       {"failures", worker.failures},
       {"seconds",
        std::chrono::duration_cast<std::chrono::seconds>(duration).count()}});
}

void OnTimer(const Context& context, JobShard& shard, Worker& worker) {
  if (worker.ejected_until && *worker.ejected_until <= context.now) {
    worker.ejected_until.reset();
    worker.on_probation = true;
    UpdateIndex(context, shard, worker);
    shard.dirty = true;
  }
}

}  // namespace basilspread::internal::jobs::health
