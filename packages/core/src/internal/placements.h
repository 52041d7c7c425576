#ifndef BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_
#define BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_

#include <optional>
#include <string>

#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Attempts and reserved capacity on the workers of an owned shard.
namespace basilspread::internal::jobs {

/// Updates the worker's free capacity in the placement index.
void UpdateIndex(const Context& context, JobShard& shard, Worker& worker);

/// Chooses a worker by the placement policy of the shard's pool and reserves
/// the demand on it; unset when it fits nowhere. The worker `avoided` is chosen
/// only when no other one fits.
std::optional<HostName> ReserveRoom(Context& context, JobShard& shard,
                                    const Resources& demand,
                                    const HostName& avoided);
void ReleaseRoom(const Context& context, JobShard& shard,
                 const HostName& worker, const Resources& demand);

/// Adds an attempt whose capacity is already reserved.
PlacedTask& AddPlaced(JobShard& shard, const TaskStart& start,
                      const ShardId& home, PlacedPhase phase);

/// Adds an attempt from a record and reserves its capacity.
void AdoptPlaced(const Context& context, JobShard& shard,
                 const TaskStart& start, const ShardId& home);

/// Marks the attempt to be stopped by the next call to its worker, after a
/// checkpoint if that is requested.
void StopPlaced(JobShard& shard, PlacedTask& task, bool checkpoint);

/// Ends an attempt: frees its capacity and appends the outcome record.
void EndPlaced(Context& context, const ShardId& id, JobShard& shard,
               PlacedTask& task, TaskResult result, const std::string& detail);

/// Reports the state of an attempt to its home shard, unless that is this one.
void ReportPlaced(Context& context, const ShardId& id, PlacedTask& task);

/// Frees the capacity of expired holds.
void ExpireHolds(Context& context, JobShard& shard);
/// Repeats the reports of outcomes that were not acknowledged.
void RepeatReports(Context& context, const ShardId& id, JobShard& shard);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_PLACEMENTS_H_
