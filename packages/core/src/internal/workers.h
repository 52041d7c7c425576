#ifndef BASILSPREAD_CORE_INTERNAL_WORKERS_H_
#define BASILSPREAD_CORE_INTERNAL_WORKERS_H_

#include <string>

#include "basilspread/core/jobs.h"
#include "basilspread/core/worker.h"
#include "internal/context.h"

/// Calls to the workers of the owned shards, and what their answers mean.
namespace basilspread::internal::jobs {

/// Matches the workers to the host list.
void MatchWorkers(Context& context, const ShardId& id, JobShard& shard);

/// Calls the workers whose call is due.
void CallDueWorkers(Context& context, const ShardId& id, JobShard& shard);

/// Marks the workers whose regular call has come, ends what lapsed, and moves
/// tasks away from leaving workers.
void WatchWorkers(Context& context, const ShardId& id, JobShard& shard);

void HandleWorkerAnswer(Context& context, JobShard& shard,
                        const WorkerAnswered& answer);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_WORKERS_H_
