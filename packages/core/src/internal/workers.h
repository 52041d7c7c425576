#ifndef BASILSPREAD_CORE_INTERNAL_WORKERS_H_
#define BASILSPREAD_CORE_INTERNAL_WORKERS_H_

#include <string>

#include "basilspread/core/jobs.h"
#include "basilspread/core/worker.h"
#include "internal/context.h"

/// Calls to the workers of the owned shards, and the handling of their answers.
namespace basilspread::internal::jobs {

/// Updates the shard's workers from the host list.
void MatchWorkers(Context& context, const ShardId& id, JobShard& shard);

/// Calls the workers whose call is due.
void CallDueWorkers(Context& context, const ShardId& id, JobShard& shard);

/// Marks the workers whose regular call is due, ends attempts whose lease has
/// lapsed, and moves tasks off leaving workers.
void WatchWorkers(Context& context, const ShardId& id, JobShard& shard);

void HandleWorkerAnswer(Context& context, JobShard& shard,
                        const WorkerAnswered& answer);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_WORKERS_H_
