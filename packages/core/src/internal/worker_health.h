#ifndef BASILSPREAD_CORE_INTERNAL_WORKER_HEALTH_H_
#define BASILSPREAD_CORE_INTERNAL_WORKER_HEALTH_H_

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Ejects workers that fail everything they start. Such a worker seems idle and
/// would attract all tasks.
namespace basilspread::internal::jobs::health {

void OnStarted(const Context& context, JobShard& shard, Worker& worker);
void OnStartFailed(Context& context, JobShard& shard, Worker& worker);

/// Puts a worker on probation when its ejection is over.
void OnTimer(const Context& context, JobShard& shard, Worker& worker);

}  // namespace basilspread::internal::jobs::health

#endif  // BASILSPREAD_CORE_INTERNAL_WORKER_HEALTH_H_
