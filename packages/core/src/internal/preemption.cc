#include "internal/preemption.h"

#include <algorithm>
#include <vector>

#include "internal/placements.h"

namespace basilspread::internal::jobs {
namespace {

/// Time in which the preempted tasks are expected to have ended.
constexpr Duration kPreemptionWait = std::chrono::seconds(3);

using Victims = std::vector<PlacedTask*>;

bool IsPreemptible(const PlacedTask& task, std::int32_t priority) {
  const bool is_on_worker = task.phase == PlacedPhase::kStarting ||
                            task.phase == PlacedPhase::kRunning;
  return is_on_worker && !task.stopping && task.start.priority < priority;
}

/// The tasks of lowest priority on a worker that together free enough capacity;
/// empty when they do not suffice.
Victims VictimsOn(Worker& worker, const Resources& demand,
                  std::int32_t priority) {
  Victims lower;
  for (PlacedTask& task : worker.tasks) {
    if (IsPreemptible(task, priority)) {
      lower.push_back(&task);
    }
  }
  std::sort(lower.begin(), lower.end(),
            [](const PlacedTask* left, const PlacedTask* right) {
              return left->start.priority < right->start.priority;
            });
  Resources room = worker.capacity - worker.reserved;
  Victims victims;
  for (PlacedTask* task : lower) {
    room += task->start.reserved;
    victims.push_back(task);
    if (Fits(demand, room)) {
      return victims;
    }
  }
  return {};
}

}  // namespace

void Preempt(const Context& context, JobShard& shard, Job& job,
             const Task& task) {
  Victims fewest;
  for (auto& [name, worker] : shard.workers) {
    const bool is_usable = worker.phase == WorkerPhase::kReady &&
                           !worker.silent && !worker.leaving &&
                           !worker.ejected_until;
    if (!is_usable) {
      continue;
    }
    Victims victims = VictimsOn(worker, task.demand, job.spec.priority);
    const bool is_better = fewest.empty() || victims.size() < fewest.size();
    if (!victims.empty() && is_better) {
      fewest = std::move(victims);
    }
  }
  if (fewest.empty()) {
    return;
  }
  for (PlacedTask* victim : fewest) {
    StopPlaced(shard, *victim, true);
  }
  job.preempting_until = context.now + kPreemptionWait;
  job.reason = "room is being made on " + fewest.front()->start.worker.value;
}

}  // namespace basilspread::internal::jobs
