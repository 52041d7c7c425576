#ifndef BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_

#include <vector>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Rounds of requests to the pool's shards for capacity for a job that its home
/// shard cannot hold alone.
namespace basilspread::internal::jobs {

/// Begins a round, unless the job has one in progress or is in backoff.
void Reserve(Context& context, const ShardId& id, Job& job,
             const std::vector<Task*>& tasks);

/// Aborts the rounds that have timed out.
void ExpireReservations(Context& context);

/// Discards the rounds of a shard that is no longer owned.
void DropReservations(Context& context, const ShardId& home);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_
