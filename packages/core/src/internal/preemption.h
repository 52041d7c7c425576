#ifndef BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_
#define BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_

#include "basilspread/core/jobs.h"
#include "internal/context.h"

namespace basilspread::internal::jobs {

/// Stops, after a checkpoint, the fewest tasks of lower priority on one worker
/// that make room for the task of an urgent job.
void MakeRoom(const Context& context, JobShard& shard, Job& job,
              const Task& task);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_
