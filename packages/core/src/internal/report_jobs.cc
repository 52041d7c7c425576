#include "internal/report_jobs.h"

#include <fmt/format.h>

#include <string>

#include "internal/job_progress.h"
#include "internal/ownership.h"

namespace basilspread::internal::report {
namespace {

/// Maximum number of jobs per shard that a dump lists; it counts the others.
constexpr std::size_t kMaxJobRows = 200;

std::string Describe(const Resources& resources) {
  return fmt::format("{}m/{}Mi/{}", resources.cpu_millicores,
                     resources.memory_mebibytes, resources.accelerators);
}

std::string StateOf(const Context& context, const Worker& worker) {
  if (worker.leaving) {
    return "leaving";
  }
  if (worker.ejected_until && context.now < *worker.ejected_until) {
    return "ejected";
  }
  if (worker.silent) {
    return "silent";
  }
  switch (worker.phase) {
    case WorkerPhase::kUnfenced:
      return "unfenced";
    case WorkerPhase::kStoppingUnknown:
      return "stopping-unknown-tasks";
    case WorkerPhase::kReady:
      return worker.on_probation ? "probation" : "ready";
  }
  return "unfenced";
}

}  // namespace

ReportSection DescribeWorkers(const Context& context) {
  ReportSection section{"workers", {}};
  for (const auto& [id, shard] : context.state.jobs.shards) {
    for (const auto& [name, worker] : shard.workers) {
      section.rows.push_back(
          {{"worker", name.value},
           {"shard", id.value},
           {"state", StateOf(context, worker)},
           {"tasks", fmt::format("{}", worker.tasks.size())},
           {"reserved", Describe(worker.reserved)},
           {"free", Describe(worker.capacity - worker.reserved)}});
    }
  }
  return section;
}

ReportSection DescribeJobs(const Context& context) {
  ReportSection section{"jobs", {}};
  for (const auto& [id, shard] : context.state.jobs.shards) {
    if (!ownership::OwnsShard(context, id)) {
      continue;
    }
    std::size_t rows = 0;
    for (const auto& [name, job] : shard.jobs) {
      if (job->ended || ++rows > kMaxJobRows) {
        continue;
      }
      const JobStatus status = jobs::StatusOf(*job);
      section.rows.push_back({{"job", name.value},
                              {"home", id.value},
                              {"team", job->spec.team.value},
                              {"state", NameOf(status.state)},
                              {"tasks", fmt::format("{}", status.tasks)},
                              {"running", fmt::format("{}", status.running)},
                              {"reason", status.reason}});
    }
    if (rows > kMaxJobRows) {
      section.rows.push_back(
          {{"job", fmt::format("and {} more", rows - kMaxJobRows)},
           {"home", id.value}});
    }
  }
  return section;
}

}  // namespace basilspread::internal::report
