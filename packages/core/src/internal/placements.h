#ifndef BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_
#define BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_

#include <optional>
#include <string>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Attempts and reserved room on the workers of an owned shard.
namespace basilspread::internal::jobs {

/// States in the index what the worker has free now.
void UpdateIndex(const Context& context, JobShard& shard, Worker& worker);

/// Picks a worker by the policy of the shard's pool and reserves the demand
/// on it; unset when none has room.
std::optional<HostName> ReserveRoom(Context& context, JobShard& shard,
                                    const Resources& demand,
                                    const HostName& avoided);
void ReleaseRoom(const Context& context, JobShard& shard,
                 const HostName& worker, const Resources& demand);

/// Adds an attempt whose room is reserved already.
PlacedTask& AddPlaced(JobShard& shard, const TaskStart& start,
                      const ShardId& home, PlacedPhase phase);

/// Adds an attempt that a record tells of and reserves its room.
void AdoptPlaced(const Context& context, JobShard& shard,
                 const TaskStart& start, const ShardId& home);

/// Has the attempt stopped at its worker.
void StopPlaced(JobShard& shard, PlacedTask& task, bool checkpoint);

/// Ends an attempt: frees its room and appends the outcome.
void EndPlaced(Context& context, const ShardId& id, JobShard& shard,
               PlacedTask& task, TaskResult result, const std::string& detail);

/// Tells the home of attempts what became of them.
void ReportPlaced(Context& context, const ShardId& id, PlacedTask& task);

/// Frees what was held for too long and repeats what was not acknowledged.
void ExpireHolds(Context& context, JobShard& shard);
void RepeatReports(Context& context, const ShardId& id, JobShard& shard);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_
