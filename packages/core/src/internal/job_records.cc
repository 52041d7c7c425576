#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "internal/job_checks.h"
#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/log.h"
#include "internal/placements.h"

// Records are idempotent: applying one twice, or applying a JobRecord that is
// older than records already applied, changes nothing, because attempts only
// grow and an outcome is final. So the checkpoint of a job may stand at any
// position among the other records of the stream.
namespace basilspread::internal::jobs {
namespace {

void MergeTask(Task& task, const TaskRecord& record) {
  const bool is_later = record.attempt > task.attempt;
  const bool ends =
      record.attempt == task.attempt && task.result == TaskResult::kNone;
  if (is_later) {
    task.attempt = record.attempt;
    task.worker = record.worker;
    task.place = record.place;
    task.granted_by = record.granted_by;
    task.running = false;
    task.intending = false;
  }
  if (is_later || ends) {
    task.result = record.result;
  }
  task.failures = std::max(task.failures, record.failures);
}

void AdoptTasks(const Context& context, const ShardId& id, JobShard& shard,
                const Job& job) {
  for (const Task& task : job.tasks) {
    const bool is_here = task.attempt.value > 0 && task.place == id &&
                         task.result == TaskResult::kNone;
    if (is_here) {
      AdoptPlaced(
          context, shard,
          StartOf(job, task, task.attempt, task.worker, task.granted_by), id);
    }
  }
}

void ApplyIntentAtHome(const IntentRecord& record, JobShard& shard) {
  Task* task = FindTask(shard, record.start.name.task);
  if (task == nullptr || record.start.name.attempt <= task->attempt) {
    return;
  }
  task->attempt = record.start.name.attempt;
  task->result = TaskResult::kNone;
  task->worker = record.start.worker;
  task->place = record.place;
  task->granted_by = record.start.granted_by;
  task->intending = false;
  task->running = false;
  task->confirmed_at.reset();
  shard.confirm_due = shard.confirm_due || record.place != record.home;
}

void ApplyIntentAtPlace(Context& context, const IntentRecord& record,
                        JobShard& shard) {
  const auto placed = shard.placed.find(record.start.name);
  if (placed == shard.placed.end()) {
    AdoptPlaced(context, shard, record.start, record.home);
    return;
  }
  const PlacedTaskPtr task = placed->second;
  if (task->phase != PlacedPhase::kIntending) {
    return;
  }
  task->phase = PlacedPhase::kStarting;
  if (task->stopping) {
    EndPlaced(context, record.shard, shard, *task, TaskResult::kNotStarted,
              "stopped before it started");
    return;
  }
  shard.due.insert(record.start.worker);
}

void ApplyOutcomeAtPlace(Context& context, const OutcomeRecord& record,
                         JobShard& shard) {
  const auto placed = shard.placed.find(record.name);
  if (placed == shard.placed.end()) {
    return;
  }
  const PlacedTaskPtr task = placed->second;
  const bool occupies_capacity = task->phase <= PlacedPhase::kRunning;
  if (occupies_capacity) {
    task->unlink();
    ReleaseRoom(context, shard, task->start.worker, task->start.reserved);
  }
  task->phase = PlacedPhase::kEnded;
  task->result = record.result;
  task->detail = record.detail;
  if (task->home == record.shard) {
    shard.placed.erase(record.name);
  } else if (ownership::OwnsShard(context, record.shard)) {
    ReportPlaced(context, record.shard, *task);
  }
}

void Acknowledge(Context& context, const ShardId& id, JobShard& shard,
                 const TaskAttempt& name) {
  const Task* task = FindTask(shard, name.task);
  const bool is_elsewhere =
      task != nullptr && task->attempt == name.attempt && task->place != id;
  if (is_elsewhere && ownership::OwnsShard(context, id)) {
    Deliver(context, task->place, TaskReportsAck{task->place, id, {name}});
  }
}

std::vector<TaskRecord> TaskRecordsOf(const Job& job) {
  std::vector<TaskRecord> records;
  for (const Task& task : job.tasks) {
    records.push_back(TaskRecord{task.attempt, task.result, task.failures,
                                 task.worker, task.place, task.granted_by});
  }
  return records;
}

}  // namespace

void OnRecord(Context& context, const JobRecord& record) {
  JobShard* shard = FindShard(context, record.shard);
  if (shard == nullptr || !IsInForce(context, record.shard, record.epoch)) {
    return;
  }
  Job* job = FindJob(*shard, record.spec.id);
  if (job == nullptr) {
    job = &AddJob(context, record.shard, *shard, record.spec);
  }
  job->accepted = true;
  job->cancelled = job->cancelled || record.cancelled;
  for (std::size_t i = 0; i < record.tasks.size() && i < job->tasks.size();
       ++i) {
    MergeTask(job->tasks[i], record.tasks[i]);
  }
  AdoptTasks(context, record.shard, *shard, *job);
  Refresh(context, *shard, *job);
  AnswerWaiters(context, *job);
}

void OnRecord(Context& context, const IntentRecord& record) {
  JobShard* shard = FindShard(context, record.shard);
  if (shard == nullptr || !IsInForce(context, record.shard, record.epoch)) {
    return;
  }
  if (record.home == record.shard) {
    ApplyIntentAtHome(record, *shard);
  }
  if (record.place == record.shard) {
    ApplyIntentAtPlace(context, record, *shard);
  }
  Job* job = FindJob(*shard, JobOf(record.start.name.task));
  if (job != nullptr && record.home == record.shard) {
    Refresh(context, *shard, *job);
  }
}

void OnRecord(Context& context, const OutcomeRecord& record) {
  JobShard* shard = FindShard(context, record.shard);
  if (shard == nullptr || !IsInForce(context, record.shard, record.epoch)) {
    return;
  }
  ApplyOutcomeAtPlace(context, record, *shard);
  if (record.home == record.shard) {
    ApplyOutcome(context, *shard, record.name, record.result, record.detail);
    Acknowledge(context, record.shard, *shard, record.name);
    const Job* job = FindJob(*shard, JobOf(record.name.task));
    const bool is_gang = job != nullptr && job->spec.gang;
    shard->confirm_due = shard->confirm_due || is_gang;
  }
}

void OnRecord(Context& context, const CancelRecord& record) {
  JobShard* shard = FindShard(context, record.shard);
  if (shard == nullptr || !IsInForce(context, record.shard, record.epoch)) {
    return;
  }
  for (const JobId& id : record.jobs) {
    Job* job = FindJob(*shard, id);
    if (job == nullptr) {
      continue;
    }
    job->cancelled = true;
    job->cancelling = false;
    Refresh(context, *shard, *job);
    AnswerWaiters(context, *job);
  }
  shard->confirm_due = true;
}

void OnMessage(Context& context, const ProcessId& from,
               const TaskReports& message) {
  JobShard* shard = FindOwned(context, message.home);
  if (shard == nullptr) {
    return;
  }
  TaskReportsAck acknowledged{message.place, message.home, {}};
  for (const TaskReport& report : message.tasks) {
    Task* task = FindTask(*shard, report.name.task);
    const bool is_current = task != nullptr &&
                            task->attempt == report.name.attempt &&
                            task->result == TaskResult::kNone;
    if (report.result == TaskResult::kNone) {
      if (is_current) {
        task->running = report.running;
      }
    } else if (!is_current) {
      acknowledged.tasks.push_back(report.name);
    } else if (!task->ending) {
      task->ending = true;
      log::Append(context, ownership::StreamOf(message.home),
                  OutcomeRecord{
                      message.home, ownership::EpochOf(context, message.home),
                      message.home, report.name, report.result, report.detail});
    }
  }
  if (!acknowledged.tasks.empty()) {
    Reply(context, from, acknowledged);
  }
}

void AppendCheckpoint(Context& context, const ShardId& id) {
  JobShard* shard = FindOwned(context, id);
  if (shard == nullptr) {
    return;
  }
  const StreamName stream = ownership::StreamOf(id);
  const Epoch epoch = ownership::EpochOf(context, id);
  for (const auto& [name, job] : shard->jobs) {
    if (job->accepted) {
      log::Append(
          context, stream,
          JobRecord{id, epoch, job->spec, job->cancelled, TaskRecordsOf(*job)});
    }
  }
  for (const auto& [name, task] : shard->placed) {
    if (task->home == id || task->phase == PlacedPhase::kIntending) {
      continue;
    }
    log::Append(context, stream,
                IntentRecord{id, epoch, task->home, id, task->start});
    if (task->phase == PlacedPhase::kEnded) {
      log::Append(context, stream,
                  OutcomeRecord{id, epoch, task->home, name, task->result,
                                task->detail});
    }
  }
}

}  // namespace basilspread::internal::jobs
