#ifndef BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_

#include <string>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// How the tasks of a job move on at the job's home.
namespace basilspread::internal::jobs {

enum class TaskStage { kWaiting, kActive, kSucceeded, kFailed, kCancelled };

TaskStage StageOf(const Job& job, const Task& task);
JobStatus StatusOf(const Job& job);

/// Adds a job that is not known yet.
Job& AddJob(const Context& context, const ShardId& home, JobShard& shard,
            const JobSpec& spec);

/// What the worker of an attempt is told.
TaskStart StartOf(const Job& job, const Task& task, Attempt attempt,
                  const HostName& worker, Epoch granted_by);

/// A gang that is partly down, or a cancelled job, has its tasks stopped.
bool MustStop(const Job& job);

/// Queues the job or ends it, whichever its tasks call for.
void Refresh(Context& context, JobShard& shard, Job& job);

/// The worker of a local attempt listed it as running.
void NoteRunning(Context& context, const ShardId& id, const PlacedTask& placed);

/// Applies an outcome to the task at its home. False when it is not news.
bool ApplyOutcome(Context& context, JobShard& shard, const TaskAttempt& name,
                  TaskResult result, const std::string& detail);

/// Stops what must stop and asks after tasks on workers of other shards.
void WatchTasks(Context& context, const ShardId& id, JobShard& shard);

/// Answers the callers that wait for the job, if they need wait no longer.
void AnswerWaiters(Context& context, Job& job);
void AnswerJob(Context& context, const RequestKey& caller, ErrorKind kind,
               const std::string& detail, const Job* job);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_PROGRESS_H_
