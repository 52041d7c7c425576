#ifndef BASILSPREAD_CORE_INTERNAL_JOB_LOOKUP_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_LOOKUP_H_

#include <optional>
#include <vector>

#include "basilspread/core/jobs.h"
#include "internal/context.h"
#include "internal/jobs.h"
#include "internal/other_runs.h"
#include "internal/ownership.h"

namespace basilspread::internal::jobs {

inline constexpr std::string_view kPart = "jobs";

/// The shard of a worker pool, created on first use; null for other shards.
JobShard* FindShard(Context& context, const ShardId& shard);

/// The shard if this process owns it; else null.
JobShard* FindOwned(Context& context, const ShardId& shard);

Job* FindJob(JobShard& shard, const JobId& job);

/// The task, or null when its job is not at home in the shard.
Task* FindTask(JobShard& shard, const TaskId& task);
JobId JobOf(const TaskId& task);
TaskId TaskIdAt(const JobId& job, std::size_t index);

const Pool* FindWorkerPool(const Context& context, const PoolName& pool);
ShardId HomeOf(const Pool& pool, const JobId& job);
/// All shards of a pool, in the order in which capacity is reserved.
std::vector<ShardId> ShardsOf(const Pool& pool);

/// The live process that owns the shard; unset when none is known.
std::optional<ProcessId> LiveOwnerOf(const Context& context,
                                     const ShardId& shard);

/// Whether a record that is being read back was written under the epoch that is
/// in force at this point of the shard's stream.
bool IsInForce(const Context& context, const ShardId& shard, Epoch epoch);

/// Sends a message to the owner of a shard, which may be this process. False
/// when no live owner is known.
template <typename Message>
bool Deliver(Context& context, const ShardId& shard, const Message& message) {
  if (ownership::OwnsShard(context, shard)) {
    OnMessage(context, context.state.settings.self, message);
    return true;
  }
  const std::optional<ProcessId> owner = LiveOwnerOf(context, shard);
  if (!owner || owner->node == context.state.settings.self.node) {
    return false;
  }
  other_runs::Send(context, *owner, message);
  return true;
}

/// Sends a message to a process, which may be this one.
template <typename Message>
void Reply(Context& context, const ProcessId& to, const Message& message) {
  if (to == context.state.settings.self) {
    OnMessage(context, to, message);
    return;
  }
  other_runs::Send(context, to, message);
}

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_LOOKUP_H_
