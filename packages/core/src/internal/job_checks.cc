#include "internal/job_checks.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/membership.h"

namespace basilspread::internal::jobs {
namespace {

std::string Describe(const Resources& resources) {
  return fmt::format("cpu={}m memory={}Mi accelerators={}",
                     resources.cpu_millicores, resources.memory_mebibytes,
                     resources.accelerators);
}

Resources TotalOf(const JobSpec& spec) {
  Resources total;
  for (const TaskGroup& group : spec.tasks) {
    for (std::uint32_t i = 0; i < group.count; ++i) {
      total += group.demand;
    }
  }
  return total;
}

const Quota* FindQuota(const Context& context, const TeamName& team) {
  const auto& quotas = context.state.configuration.tables.quotas;
  const auto found = quotas.find(team);
  return found == quotas.end() ? nullptr : &found->second;
}

std::optional<Error> WhyTooLargeForHosts(const JobShard& shard,
                                         const JobSpec& spec) {
  if (shard.capacities.empty()) {
    // The host list may lag, so an empty pool is no reason to refuse the job.
    return std::nullopt;
  }
  for (const TaskGroup& group : spec.tasks) {
    const auto holds = [&group](const Resources& capacity) {
      return Fits(group.demand, capacity);
    };
    if (std::none_of(shard.capacities.begin(), shard.capacities.end(), holds)) {
      return Error{ErrorKind::kNeverFits,
                   fmt::format("no host of pool {} holds a task of {}",
                               shard.pool.value, Describe(group.demand))};
    }
  }
  const Resources total = TotalOf(spec);
  if (spec.gang && !Fits(total, shard.total_capacity)) {
    return Error{
        ErrorKind::kNeverFits,
        fmt::format("pool {} has {} and the gang needs {}", shard.pool.value,
                    Describe(shard.total_capacity), Describe(total))};
  }
  return std::nullopt;
}

std::optional<Error> WhyTooLargeForQuota(const Context& context,
                                         const JobSpec& spec) {
  const Quota* quota = FindQuota(context, spec.team);
  if (quota == nullptr) {
    return std::nullopt;
  }
  for (const TaskGroup& group : spec.tasks) {
    if (!Fits(group.demand, quota->limit)) {
      return Error{ErrorKind::kNeverFits,
                   fmt::format("the quota of team {} is {} and a task needs {}",
                               spec.team.value, Describe(quota->limit),
                               Describe(group.demand))};
    }
  }
  const Resources total = TotalOf(spec);
  if (spec.gang && !Fits(total, quota->limit)) {
    return Error{
        ErrorKind::kNeverFits,
        fmt::format("the quota of team {} is {} and the gang needs {}",
                    spec.team.value, Describe(quota->limit), Describe(total))};
  }
  return std::nullopt;
}

/// Recomputes the distinct and total capacity of the pool's hosts; returns
/// whether they have changed.
bool SumCapacities(const Context& context, const Pool& pool, JobShard& shard) {
  std::vector<Resources> capacities;
  Resources total;
  for (const auto& [name, host] : context.state.hosts.hosts) {
    if (host.group != pool.group || host.leaving) {
      continue;
    }
    total += host.capacity;
    const auto known =
        std::find(capacities.begin(), capacities.end(), host.capacity);
    if (known == capacities.end()) {
      capacities.push_back(host.capacity);
    }
  }
  const bool is_same =
      capacities == shard.capacities && total == shard.total_capacity;
  shard.capacities = std::move(capacities);
  shard.total_capacity = total;
  return !is_same;
}

}  // namespace

std::optional<Error> WhyNeverFits(const Context& context, const JobShard& shard,
                                  const JobSpec& spec) {
  const std::optional<Error> hosts = WhyTooLargeForHosts(shard, spec);
  return hosts ? hosts : WhyTooLargeForQuota(context, spec);
}

void RecheckJobs(Context& context, JobShard& shard) {
  const Pool* pool = FindWorkerPool(context, shard.pool);
  if (pool == nullptr) {
    return;
  }
  const bool hosts_changed = SumCapacities(context, *pool, shard);
  const TablesVersion version = context.state.configuration.tables.version;
  if (!hosts_changed && shard.checked_tables == version) {
    return;
  }
  shard.checked_tables = version;
  for (Job& job : shard.queue) {
    const std::optional<Error> why = WhyNeverFits(context, shard, job.spec);
    job.never_fits = why.has_value();
    job.reason = why ? "can never run: " + why->detail : "";
  }
  shard.dirty = true;
}

bool QuotaAllows(const Context& context, const TeamName& team,
                 const Resources& demand) {
  const Quota* quota = FindQuota(context, team);
  if (quota == nullptr) {
    return true;
  }
  Resources used = demand;
  const auto own = context.state.jobs.usage.find(team);
  if (own != context.state.jobs.usage.end()) {
    used += own->second;
  }
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (!membership::IsLive(context, peer)) {
      continue;
    }
    for (const TeamUsage& usage : peer.last_heartbeat.usage) {
      if (usage.team == team) {
        used += usage.reserved;
      }
    }
  }
  return Fits(used, quota->limit);
}

void CountUsage(Context& context, const TeamName& team,
                const Resources& demand) {
  context.state.jobs.usage[team] += demand;
}

void SumUsage(Context& context) {
  context.state.jobs.usage.clear();
  if (context.state.configuration.tables.quotas.empty()) {
    return;
  }
  for (const auto& [id, shard] : context.state.jobs.shards) {
    if (!ownership::OwnsShard(context, id)) {
      continue;
    }
    for (const auto& [name, job] : shard.jobs) {
      for (const Task& task : job->tasks) {
        if (!job->ended && StageOf(*job, task) == TaskStage::kActive) {
          CountUsage(context, job->spec.team, task.demand);
        }
      }
    }
  }
}

}  // namespace basilspread::internal::jobs
