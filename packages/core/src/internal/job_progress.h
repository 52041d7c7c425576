#ifndef BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_

#include <string>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Progress of a job's tasks at the job's home shard.
namespace basilspread::internal::jobs {

enum class TaskStage { kWaiting, kActive, kSucceeded, kFailed, kCancelled };

TaskStage StageOf(const Job& job, const Task& task);
JobStatus StatusOf(const Job& job);

/// Adds a new job to the shard; it is not queued yet.
Job& AddJob(const Context& context, const ShardId& home, JobShard& shard,
            const JobSpec& spec);

/// The start of an attempt, as sent to its worker.
TaskStart StartOf(const Job& job, const Task& task, Attempt attempt,
                  const HostName& worker, Epoch granted_by);

/// Whether the job's tasks are to be stopped: it was cancelled, or a part of
/// its gang is no longer active.
bool MustStop(const Job& job);

/// Queues or unqueues the job by the stages of its tasks, or ends it.
void Refresh(Context& context, JobShard& shard, Job& job);

/// Marks the task as running, after its worker listed a local attempt of it as
/// running.
void MarkRunning(Context& context, const ShardId& id, const PlacedTask& placed);

/// Applies an outcome to the task at its home shard. False when the attempt is
/// not the latest one or already has an outcome.
bool ApplyOutcome(Context& context, JobShard& shard, const TaskAttempt& name,
                  TaskResult result, const std::string& detail);

/// Stops the tasks of jobs that must stop, and asks the owners of other shards
/// about tasks that were placed there.
void WatchTasks(Context& context, const ShardId& id, JobShard& shard);

/// Answers the waiting callers of the job that have their result or are late.
void AnswerWaiters(Context& context, Job& job);
void AnswerJob(Context& context, const RequestKey& caller, ErrorKind kind,
               const std::string& detail, const Job* job);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_
