#ifndef BASILSPREAD_CORE_INTERNAL_JOB_QUEUE_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_QUEUE_H_

#include <cstddef>
#include <vector>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Starts waiting jobs in the order of their rank.
namespace basilspread::internal::jobs {

/// Tries to start the first `limit` waiting jobs of an owned shard.
void Schedule(Context& context, const ShardId& id, JobShard& shard,
              std::size_t limit);

/// The tasks of the job that may be placed now.
std::vector<Task*> ReadyTasks(const Context& context, Job& job);

/// Appends the intent record of the task's next attempt.
void AppendIntent(Context& context, const ShardId& id, Job& job, Task& task,
                  const ShardId& place, const TaskGrant& grant);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_QUEUE_H_
