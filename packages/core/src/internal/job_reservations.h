#ifndef BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_

#include <vector>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Rounds that ask the pool's shards for room for a job that its home shard
/// cannot hold alone.
namespace basilspread::internal::jobs {

/// Begins a round, unless the job has one or backs off.
void Reserve(Context& context, const ShardId& id, Job& job,
             const std::vector<Task*>& tasks);

/// Ends the rounds that took too long.
void ExpireReservations(Context& context);

/// Ends the rounds of a shard that is not owned any more.
void DropReservations(Context& context, const ShardId& home);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_RESERVATIONS_H_
