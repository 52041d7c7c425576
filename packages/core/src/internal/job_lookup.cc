#include "internal/job_lookup.h"

#include <fmt/format.h>

#include <charconv>

#include "basilspread/core/random.h"
#include "internal/membership.h"

namespace basilspread::internal::jobs {

JobShard* FindShard(Context& context, const ShardId& shard) {
  const auto found = context.state.jobs.shards.find(shard);
  if (found != context.state.jobs.shards.end()) {
    return &found->second;
  }
  const auto ownership = context.state.ownership.shards.find(shard);
  if (ownership == context.state.ownership.shards.end() ||
      FindWorkerPool(context, ownership->second.pool) == nullptr) {
    return nullptr;
  }
  JobShard& added = context.state.jobs.shards[shard];
  added.pool = ownership->second.pool;
  return &added;
}

JobShard* FindOwned(Context& context, const ShardId& shard) {
  return ownership::OwnsShard(context, shard) ? FindShard(context, shard)
                                              : nullptr;
}

Job* FindJob(JobShard& shard, const JobId& job) {
  const auto found = shard.jobs.find(job);
  return found == shard.jobs.end() ? nullptr : found->second.get();
}

Task* FindTask(JobShard& shard, const TaskId& task) {
  Job* job = FindJob(shard, JobOf(task));
  if (job == nullptr) {
    return nullptr;
  }
  const std::string index_text = task.value.substr(task.value.rfind('/') + 1);
  std::size_t index = 0;
  std::from_chars(index_text.data(), index_text.data() + index_text.size(),
                  index);
  return index < job->tasks.size() ? &job->tasks[index] : nullptr;
}

JobId JobOf(const TaskId& task) {
  return JobId{task.value.substr(0, task.value.rfind('/'))};
}

TaskId TaskIdAt(const JobId& job, std::size_t index) {
  return TaskId{fmt::format("{}/{}", job.value, index)};
}

const Pool* FindWorkerPool(const Context& context, const PoolName& pool) {
  const auto& pools = context.state.configuration.tables.pools;
  const auto found = pools.find(pool);
  const bool is_known =
      found != pools.end() && found->second.kind == PoolKind::kWorkers;
  return is_known ? &found->second : nullptr;
}

ShardId HomeOf(const Pool& pool, const JobId& job) {
  return ownership::ShardAt(pool.name, StableHash(job.value) % pool.shards);
}

std::vector<ShardId> ShardsOf(const Pool& pool) {
  std::vector<ShardId> shards;
  for (std::uint32_t index = 0; index < pool.shards; ++index) {
    shards.push_back(ownership::ShardAt(pool.name, index));
  }
  return shards;
}

std::optional<ProcessId> LiveOwnerOf(const Context& context,
                                     const ShardId& shard) {
  std::optional<ProcessId> owner = ownership::OwnerOf(context, shard);
  if (!owner || !membership::IsLive(context, *owner)) {
    return std::nullopt;
  }
  return owner;
}

bool IsInForce(const Context& context, const ShardId& shard, Epoch epoch) {
  return ownership::EpochOf(context, shard) == epoch;
}

}  // namespace basilspread::internal::jobs
