#include "internal/job_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/job_checks.h"
#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/job_reservations.h"
#include "internal/log.h"
#include "internal/placements.h"
#include "internal/preemption.h"

namespace basilspread::internal::jobs {
namespace {

/// A pass ends after this many demands that could not be placed.
constexpr std::size_t kMaxFailedDemands = 32;

/// Demands that could not be placed in this pass, so that larger ones are not
/// tried.
struct FailedDemands {
  std::vector<Resources> demands;

  bool Covers(const Resources& demand) const {
    return std::any_of(
        this->demands.begin(), this->demands.end(),
        [&demand](const Resources& failed) { return Fits(failed, demand); });
  }
};

/// Places one task on a worker of the home shard.
bool PlaceHere(Context& context, const ShardId& id, JobShard& shard, Job& job,
               Task& task) {
  const bool has_failed = task.result == TaskResult::kFailed;
  const HostName avoided = has_failed ? task.worker : HostName{};
  const auto worker = ReserveRoom(context, shard, task.demand, avoided);
  if (!worker) {
    return false;
  }
  const Attempt attempt{task.attempt.value + 1};
  const TaskGrant grant{TaskAttempt{task.id, attempt}, *worker,
                        ownership::EpochOf(context, id)};
  AddPlaced(shard, StartOf(job, task, attempt, *worker, grant.granted_by), id,
            PlacedPhase::kIntending);
  AppendIntent(context, id, job, task, id, grant);
  return true;
}

/// Whether all tasks of the gang fit here at once; reserves nothing.
bool GangFitsHere(Context& context, JobShard& shard,
                  const std::vector<Task*>& tasks) {
  std::vector<std::pair<HostName, Resources>> reserved;
  bool fits = true;
  for (const Task* task : tasks) {
    const auto worker = ReserveRoom(context, shard, task->demand, HostName{});
    if (!worker) {
      fits = false;
      break;
    }
    reserved.emplace_back(*worker, task->demand);
  }
  const bool was_dirty = shard.dirty;
  for (const auto& [worker, demand] : reserved) {
    ReleaseRoom(context, shard, worker, demand);
  }
  shard.dirty = was_dirty;
  return fits;
}

/// Drops the tasks that exceed the team's quota, or all tasks if the job is a
/// gang. False when none is left.
bool LimitToQuota(const Context& context, const Job& job,
                  std::vector<Task*>& tasks) {
  Resources total;
  std::size_t allowed = 0;
  for (const Task* task : tasks) {
    total += task->demand;
    if (!QuotaAllows(context, job.spec.team, total)) {
      break;
    }
    ++allowed;
  }
  if (job.spec.gang && allowed < tasks.size()) {
    allowed = 0;
  }
  tasks.resize(allowed);
  return allowed > 0;
}

void PlaceAll(Context& context, const ShardId& id, JobShard& shard, Job& job,
              std::vector<Task*>& tasks, FailedDemands& failed) {
  if (job.spec.gang && !GangFitsHere(context, shard, tasks)) {
    return;
  }
  std::vector<Task*> remaining;
  for (Task* task : tasks) {
    const bool is_placed = !failed.Covers(task->demand) &&
                           PlaceHere(context, id, shard, job, *task);
    if (!is_placed) {
      failed.demands.push_back(task->demand);
      remaining.push_back(task);
    }
  }
  tasks = std::move(remaining);
}

/// Next steps for a job that does not fit here: reservations in other shards,
/// and preemption if it is urgent.
void TryElsewhere(Context& context, const ShardId& id, JobShard& shard,
                  Job& job, const std::vector<Task*>& tasks) {
  if (job.reason.empty() || !job.reserving) {
    job.reason =
        fmt::format("no worker of pool {} has room now", shard.pool.value);
  }
  if (job.accepted) {
    Reserve(context, id, job, tasks);
  }
  if (job.spec.priority >= kUrgentPriority &&
      context.now >= job.preempting_until) {
    Preempt(context, shard, job, *tasks.front());
  }
}

void TryStart(Context& context, const ShardId& id, JobShard& shard, Job& job,
              FailedDemands& failed) {
  if (job.never_fits || job.reserving) {
    return;
  }
  std::vector<Task*> tasks = ReadyTasks(context, job);
  if (tasks.empty()) {
    return;
  }
  if (!LimitToQuota(context, job, tasks)) {
    job.reason =
        fmt::format("the quota of team {} is used up", job.spec.team.value);
    return;
  }
  const bool is_small_enough = !failed.Covers(tasks.front()->demand);
  if (is_small_enough) {
    PlaceAll(context, id, shard, job, tasks, failed);
  }
  if (!tasks.empty()) {
    TryElsewhere(context, id, shard, job, tasks);
  } else {
    job.reason.clear();
  }
  Refresh(context, shard, job);
}

bool IsPastDeadline(const Context& context, const Job& job) {
  return job.spec.deadline > Duration::zero() &&
         context.now - job.submitted >= job.spec.deadline;
}

void CancelExpired(Context& context, const ShardId& id, Job& job) {
  if (job.cancelling || !job.accepted) {
    return;
  }
  job.cancelling = true;
  CancelRecord record;
  record.shard = id;
  record.epoch = ownership::EpochOf(context, id);
  record.jobs = {job.spec.id};
  log::Append(context, ownership::StreamOf(id), std::move(record));
}

}  // namespace

void Schedule(Context& context, const ShardId& id, JobShard& shard,
              std::size_t limit) {
  shard.dirty = false;
  if (context.state.stopping || !ownership::MayAct(context, id)) {
    return;
  }
  std::vector<JobPtr> candidates;
  for (Job& job : shard.queue) {
    if (candidates.size() >= limit) {
      break;
    }
    candidates.emplace_back(&job);
  }
  FailedDemands failed;
  for (const JobPtr& job : candidates) {
    if (IsPastDeadline(context, *job)) {
      CancelExpired(context, id, *job);
    }
    if (failed.demands.size() >= kMaxFailedDemands) {
      break;
    }
    TryStart(context, id, shard, *job, failed);
  }
  shard.dirty = false;
}

std::vector<Task*> ReadyTasks(const Context& context, Job& job) {
  std::vector<Task*> ready;
  std::size_t active = 0;
  std::size_t waiting = 0;
  for (Task& task : job.tasks) {
    const TaskStage stage = StageOf(job, task);
    active += stage == TaskStage::kActive ? 1 : 0;
    if (stage != TaskStage::kWaiting) {
      continue;
    }
    ++waiting;
    if (task.not_before <= context.now) {
      ready.push_back(&task);
    } else {
      job.reason = "waits after a failed attempt: " + task.detail;
    }
  }
  // A gang starts only as a whole, so not while a part of it is being stopped.
  if (job.spec.gang && (active > 0 || ready.size() < waiting)) {
    ready.clear();
  }
  return ready;
}

void AppendIntent(Context& context, const ShardId& id, Job& job, Task& task,
                  const ShardId& place, const TaskGrant& grant) {
  task.intending = true;
  CountUsage(context, job.spec.team, task.demand);
  IntentRecord record;
  record.shard = id;
  record.epoch = ownership::EpochOf(context, id);
  record.home = id;
  record.place = place;
  record.start =
      StartOf(job, task, grant.name.attempt, grant.worker, grant.granted_by);
  log::Append(context, ownership::StreamOf(id), std::move(record));
}

}  // namespace basilspread::internal::jobs
