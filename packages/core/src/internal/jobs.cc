#include "internal/jobs.h"

#include <utility>
#include <vector>

#include "internal/job_calls.h"
#include "internal/job_checks.h"
#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/job_queue.h"
#include "internal/job_reservations.h"
#include "internal/placements.h"
#include "internal/workers.h"

namespace basilspread::internal::jobs {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Waiting jobs that are tried after an event, and on a tick.
constexpr std::size_t kMaxScanPerEvent = 64;
constexpr std::size_t kMaxScanPerTick = 1024;
/// How long an ended job answers status calls and repeated submissions.
constexpr Duration kEndedRetention = std::chrono::minutes(10);

template <typename Action>
void ForEachOwned(Context& context, const Action& action) {
  for (auto& [id, shard] : context.state.jobs.shards) {
    if (ownership::OwnsShard(context, id)) {
      action(id, shard);
    }
  }
}

/// Answers the waiters that are due, and removes the jobs whose retention is
/// over.
void ExpireJobs(Context& context, JobShard& shard) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : shard.jobs) {
    if (!job->waiters.empty()) {
      AnswerWaiters(context, *job);
    }
    if (job->ended && context.now - *job->ended >= kEndedRetention) {
      expired.push_back(id);
    }
  }
  for (const JobId& id : expired) {
    shard.jobs.erase(id);
  }
}

void Tick(Context& context, const ShardId& id, JobShard& shard) {
  ExpireHolds(context, shard);
  RepeatReports(context, id, shard);
  WatchWorkers(context, id, shard);
  WatchTasks(context, id, shard);
  ExpireJobs(context, shard);
  Schedule(context, id, shard, kMaxScanPerTick);
}

/// Answers the waiters of a job in a shard that was lost. The outcome of a
/// submit or cancel is unknown, since its record may still be read back.
void DropWaiters(Context& context, Job& job) {
  for (const JobWaiter& waiter : std::exchange(job.waiters, {})) {
    const bool has_effect = waiter.operation == JobOperation::kSubmit ||
                            waiter.operation == JobOperation::kCancel;
    AnswerJob(context, waiter.caller,
              has_effect ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotOwner,
              job.home.value, nullptr);
  }
}

/// Resets the part of the jobs' state that only the shard's owner has.
void ResetJobs(Context& context, JobShard& shard) {
  const std::map<JobId, JobPtr> jobs = shard.jobs;
  for (const auto& [id, job] : jobs) {
    DropWaiters(context, *job);
    job->cancelling = false;
    job->reserving = false;
    job->never_fits = false;
    for (Task& task : job->tasks) {
      task.intending = false;
      task.ending = false;
      task.running = false;
      task.confirmed_at.reset();
    }
    if (!job->accepted) {
      shard.jobs.erase(id);
    }
  }
}

/// Resets the part of the workers' and attempts' state that only the shard's
/// owner has.
void ResetWorkers(JobShard& shard) {
  std::erase_if(shard.placed, [](const auto& entry) {
    return entry.second->phase == PlacedPhase::kIntending;
  });
  for (const auto& [name, task] : shard.placed) {
    task->unlink();
    task->stopping = false;
    if (task->phase != PlacedPhase::kEnded) {
      task->phase = PlacedPhase::kStarting;
    }
  }
  shard.holds.clear();
  shard.home_epochs.clear();
  shard.due.clear();
  shard.workers.clear();
  shard.slots.clear();
  shard.index = PlacementIndex();
}

}  // namespace

void Start(Context& context) { context.ArmIn(TimerKind::kJobs, kTickInterval); }

void OnTimer(Context& context) {
  SumUsage(context);
  ExpireReservations(context);
  ExpireCallers(context);
  ForEachOwned(context, [&context](const ShardId& id, JobShard& shard) {
    Tick(context, id, shard);
  });
  context.ArmIn(TimerKind::kJobs, kTickInterval);
}

void OnWorkerAnswered(Context& context, const WorkerAnswered& event) {
  if (context.state.jobs.worker_calls > 0) {
    --context.state.jobs.worker_calls;
  }
  JobShard* shard = FindOwned(context, event.shard);
  if (shard != nullptr) {
    HandleWorkerAnswer(context, *shard, event);
  }
}

void Settle(Context& context) {
  ForEachOwned(context, [&context](const ShardId& id, JobShard& shard) {
    if (shard.confirm_due) {
      WatchTasks(context, id, shard);
    }
    if (shard.dirty) {
      Schedule(context, id, shard, kMaxScanPerEvent);
    }
    CallDueWorkers(context, id, shard);
  });
}

void OnHostsChanged(Context& context) {
  for (const auto& [id, ownership] : context.state.ownership.shards) {
    JobShard* shard = FindOwned(context, id);
    if (shard != nullptr) {
      MatchWorkers(context, id, *shard);
      RecheckJobs(context, *shard);
    }
  }
}

void OnStreamReset(Context& context, const ShardId& id) {
  const auto found = context.state.jobs.shards.find(id);
  if (found == context.state.jobs.shards.end()) {
    return;
  }
  OnShardLost(context, id);
  context.state.jobs.shards.erase(found);
}

void OnShardGained(Context& context, const ShardId& id, TakeoverKind kind) {
  JobShard* shard = FindShard(context, id);
  if (shard == nullptr) {
    return;
  }
  const Settings& settings = context.state.settings;
  // A partitioned former owner may call workers until it notices the loss of
  // its peers, and its last call may still be in flight then.
  const Duration detection_delay = settings.peer_timeout +
                                   settings.heartbeat_interval +
                                   settings.worker_timeout;
  const bool is_clean = kind == TakeoverKind::kClean;
  shard->previous_owner_ceased =
      context.now + (is_clean ? Duration::zero() : detection_delay);
  shard->confirm_due = true;
  MatchWorkers(context, id, *shard);
  RecheckJobs(context, *shard);
}

void OnShardReady(Context& context, const ShardId& id) {
  JobShard* shard = FindOwned(context, id);
  if (shard != nullptr) {
    shard->dirty = true;
  }
}

void OnShardLost(Context& context, const ShardId& id) {
  const auto found = context.state.jobs.shards.find(id);
  if (found == context.state.jobs.shards.end()) {
    return;
  }
  DropReservations(context, id);
  ResetJobs(context, found->second);
  ResetWorkers(found->second);
}

std::vector<TeamUsage> Usage(const Context& context) {
  std::vector<TeamUsage> usage;
  for (const auto& [team, reserved] : context.state.jobs.usage) {
    usage.push_back(TeamUsage{team, reserved});
  }
  return usage;
}

bool IsIdle(const Context& context) {
  if (!context.state.jobs.callers.empty()) {
    return false;
  }
  for (const auto& [id, shard] : context.state.jobs.shards) {
    for (const auto& [name, worker] : shard.workers) {
      if (worker.calling) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace basilspread::internal::jobs
