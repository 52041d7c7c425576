#ifndef BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_
#define BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_

#include "basilspread/core/jobs.h"
#include "internal/context.h"

namespace basilspread::internal::jobs {

/// Frees capacity for a task of an urgent job: stops, after a checkpoint, the
/// tasks of lower priority on the worker where the fewest of them suffice.
void Preempt(const Context& context, JobShard& shard, Job& job,
             const Task& task);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_PREEMPTION_H_
