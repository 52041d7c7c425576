#include "internal/job_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

#include "internal/job_lookup.h"
#include "internal/log.h"
#include "internal/placements.h"

namespace basilspread::internal::jobs {
namespace {

/// Time in the queue that is worth one point of priority.
constexpr Duration kAgePerPriority = std::chrono::seconds(10);
constexpr Duration kFirstBackoff = std::chrono::seconds(1);
constexpr Duration kLongestBackoff = std::chrono::minutes(5);
constexpr std::uint32_t kMaxDoublings = 9;
constexpr Duration kWatchInterval = std::chrono::seconds(1);
/// Interval of ConfirmTasks for a task that is known to run on a worker of
/// another shard.
constexpr Duration kRunningConfirmInterval = std::chrono::seconds(10);

Duration BackoffFor(std::uint32_t failures) {
  const std::uint32_t doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kFirstBackoff * (1U << doublings), kLongestBackoff);
}

struct StageCounts {
  std::uint32_t waiting = 0;
  std::uint32_t active = 0;
  std::uint32_t running = 0;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled = 0;
};

StageCounts CountStages(const Job& job) {
  StageCounts counts;
  for (const Task& task : job.tasks) {
    switch (StageOf(job, task)) {
      case TaskStage::kWaiting:
        ++counts.waiting;
        break;
      case TaskStage::kActive:
        ++counts.active;
        counts.running += task.running ? 1 : 0;
        break;
      case TaskStage::kSucceeded:
        ++counts.succeeded;
        break;
      case TaskStage::kFailed:
        ++counts.failed;
        break;
      case TaskStage::kCancelled:
        ++counts.cancelled;
        break;
    }
  }
  return counts;
}

JobState StateOf(const StageCounts& counts) {
  if (counts.running > 0) {
    return JobState::kRunning;
  }
  if (counts.active > 0) {
    return JobState::kStarting;
  }
  if (counts.waiting > 0) {
    return JobState::kWaiting;
  }
  if (counts.failed > 0) {
    return JobState::kFailed;
  }
  return counts.cancelled > 0 ? JobState::kCancelled : JobState::kFinished;
}

std::string ReasonOf(const Job& job, const StageCounts& counts) {
  for (const Task& task : job.tasks) {
    const bool is_uncertain = task.attempt.value > 0 &&
                              task.result == TaskResult::kNone && !task.running;
    if (is_uncertain && counts.running == 0) {
      return "may still run on " + task.worker.value;
    }
  }
  if (counts.waiting > 0) {
    return job.reason;
  }
  for (const Task& task : job.tasks) {
    if (StageOf(job, task) == TaskStage::kFailed) {
      return task.id.value + " failed: " + task.detail;
    }
  }
  return "";
}

using ConfirmsByShard = std::map<ShardId, ConfirmTasks>;

/// Adds the task to the ConfirmTasks for the shard that runs it, if that is
/// due.
void AddConfirm(const Context& context, const ShardId& id, const Job& job,
                Task& task, ConfirmsByShard& confirms) {
  const Duration interval =
      task.running ? kRunningConfirmInterval : kWatchInterval;
  if (task.confirmed_at && context.now - *task.confirmed_at < interval) {
    return;
  }
  task.confirmed_at = context.now;
  ConfirmTasks& confirm = confirms[task.place];
  confirm.home = id;
  confirm.home_epoch = ownership::EpochOf(context, id);
  confirm.place = task.place;
  confirm.hold = task.hold;
  confirm.tasks.push_back(
      StartOf(job, task, task.attempt, task.worker, task.granted_by));
}

void StopTaskOf(Context& context, const ShardId& id, JobShard& shard,
                const Task& task) {
  if (task.place != id) {
    const StopTasks stop{id,
                         ownership::EpochOf(context, id),
                         task.place,
                         {TaskAttempt{task.id, task.attempt}}};
    Deliver(context, task.place, stop);
    return;
  }
  // While an intent record is in flight, the attempt is the next one.
  const Attempt attempt{task.attempt.value + (task.intending ? 1 : 0)};
  const auto placed = shard.placed.find(TaskAttempt{task.id, attempt});
  if (placed != shard.placed.end()) {
    StopPlaced(shard, *placed->second, false);
  }
}

void WatchJob(Context& context, const ShardId& id, JobShard& shard, Job& job,
              ConfirmsByShard& confirms) {
  const bool must_stop = MustStop(job);
  for (Task& task : job.tasks) {
    if (StageOf(job, task) != TaskStage::kActive) {
      continue;
    }
    if (must_stop) {
      StopTaskOf(context, id, shard, task);
    }
    if (!task.intending && task.place != id) {
      AddConfirm(context, id, job, task, confirms);
    }
  }
}

}  // namespace

TaskStage StageOf(const Job& job, const Task& task) {
  const bool is_placed =
      task.attempt.value > 0 && task.result == TaskResult::kNone;
  if (is_placed || task.intending) {
    return TaskStage::kActive;
  }
  if (task.result == TaskResult::kSucceeded) {
    return TaskStage::kSucceeded;
  }
  if (task.failures >= job.spec.max_attempts) {
    return TaskStage::kFailed;
  }
  return job.cancelled || job.given_up ? TaskStage::kCancelled
                                       : TaskStage::kWaiting;
}

JobStatus StatusOf(const Job& job) {
  const StageCounts counts = CountStages(job);
  JobStatus status;
  status.id = job.spec.id;
  status.state = StateOf(counts);
  status.reason = ReasonOf(job, counts);
  status.tasks = static_cast<std::uint32_t>(job.tasks.size());
  status.running = counts.running;
  status.succeeded = counts.succeeded;
  status.failed = counts.failed;
  for (const Task& task : job.tasks) {
    status.attempts += task.attempt.value;
  }
  return status;
}

Job& AddJob(const Context& context, const ShardId& home, JobShard& shard,
            const JobSpec& spec) {
  JobPtr job(new Job);
  job->spec = spec;
  job->home = home;
  job->submitted = context.now;
  job->rank = context.now - kAgePerPriority * spec.priority;
  job->sequence = shard.next_sequence++;
  for (const TaskGroup& group : spec.tasks) {
    for (std::uint32_t i = 0; i < group.count; ++i) {
      Task task;
      task.id = TaskIdAt(spec.id, job->tasks.size());
      task.demand = group.demand;
      job->tasks.push_back(std::move(task));
    }
  }
  shard.jobs[spec.id] = job;
  return *job;
}

TaskStart StartOf(const Job& job, const Task& task, Attempt attempt,
                  const HostName& worker, Epoch granted_by) {
  TaskStart start;
  start.name = TaskAttempt{task.id, attempt};
  start.worker = worker;
  start.granted_by = granted_by;
  start.reserved = task.demand;
  start.priority = job.spec.priority;
  start.service = job.spec.service;
  start.command = job.spec.run;
  return start;
}

bool MustStop(const Job& job) {
  if (job.cancelled) {
    return true;
  }
  if (!job.spec.gang) {
    return false;
  }
  const StageCounts counts = CountStages(job);
  return counts.active > 0 && counts.active + counts.succeeded <
                                  static_cast<std::uint32_t>(job.tasks.size());
}

void Refresh(Context& context, JobShard& shard, Job& job) {
  const StageCounts counts = CountStages(job);
  shard.dirty = true;
  if (counts.waiting > 0) {
    if (!job.is_linked()) {
      shard.queue.insert(job);
    }
    return;
  }
  if (job.is_linked()) {
    job.unlink();
  }
  if (counts.active == 0 && job.accepted && !job.ended) {
    job.ended = context.now;
    AnswerWaiters(context, job);
  }
}

void MarkRunning(Context& context, const ShardId& id,
                 const PlacedTask& placed) {
  JobShard* shard = FindOwned(context, placed.home);
  if (placed.home != id || shard == nullptr) {
    return;
  }
  Task* task = FindTask(*shard, placed.start.name.task);
  if (task != nullptr && task->attempt == placed.start.name.attempt) {
    task->running = true;
  }
}

bool ApplyOutcome(Context& context, JobShard& shard, const TaskAttempt& name,
                  TaskResult result, const std::string& detail) {
  Task* task = FindTask(shard, name.task);
  const bool is_news = task != nullptr && task->attempt == name.attempt &&
                       task->result == TaskResult::kNone;
  if (!is_news) {
    return false;
  }
  Job& job = *FindJob(shard, JobOf(name.task));
  task->result = result;
  task->detail = detail;
  task->running = false;
  task->ending = false;
  task->confirmed_at.reset();
  if (result == TaskResult::kFailed) {
    ++task->failures;
    task->not_before = context.now + BackoffFor(task->failures);
    job.given_up = job.given_up ||
                   (job.spec.gang && task->failures >= job.spec.max_attempts);
  }
  Refresh(context, shard, job);
  return true;
}

void WatchTasks(Context& context, const ShardId& id, JobShard& shard) {
  if (context.now < shard.next_watch && !shard.confirm_due) {
    return;
  }
  shard.next_watch = context.now + kWatchInterval;
  shard.confirm_due = false;
  ConfirmsByShard confirms;
  const std::map<JobId, JobPtr> jobs = shard.jobs;
  for (const auto& [name, job] : jobs) {
    if (!job->ended) {
      WatchJob(context, id, shard, *job, confirms);
    }
  }
  for (const auto& [place, confirm] : confirms) {
    Deliver(context, place, confirm);
  }
}

void AnswerJob(Context& context, const RequestKey& caller, ErrorKind kind,
               const std::string& detail, const Job* job) {
  JobAnswer answer;
  answer.call = caller.call;
  answer.kind = kind;
  answer.detail = detail;
  if (job != nullptr) {
    answer.jobs.push_back(StatusOf(*job));
  }
  Reply(context, caller.origin, answer);
}

void AnswerWaiters(Context& context, Job& job) {
  std::vector<JobWaiter> remaining;
  for (const JobWaiter& waiter : std::exchange(job.waiters, {})) {
    const bool is_accepted =
        waiter.operation == JobOperation::kSubmit && job.accepted;
    const bool is_cancelled =
        waiter.operation == JobOperation::kCancel && job.cancelled;
    const bool is_late = waiter.until <= context.now;
    const bool has_waited = is_late && waiter.operation == JobOperation::kWait;
    if (is_accepted || is_cancelled || job.ended || has_waited) {
      AnswerJob(context, waiter.caller, ErrorKind::kNone, "", &job);
    } else if (!is_late) {
      remaining.push_back(waiter);
    } else {
      AnswerJob(context, waiter.caller, ErrorKind::kOutcomeUnknown,
                "the log has not confirmed it; ask again with the same id",
                nullptr);
    }
  }
  job.waiters.insert(job.waiters.end(), remaining.begin(), remaining.end());
}

}  // namespace basilspread::internal::jobs
