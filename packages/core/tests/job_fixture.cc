#include "job_fixture.h"

#include <utility>

namespace test {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

constexpr std::int64_t kMillicores = 1000;
constexpr std::int64_t kMebibytesPerCore = 1024;
constexpr Duration kWorkerDelay = 1ms;
constexpr Duration kAnswerLimit = 40s;

Tables JobTables(std::uint32_t shards) {
  Tables tables;
  Pool pool;
  pool.name = PoolName{"workers"};
  pool.kind = PoolKind::kWorkers;
  pool.group = "workers";
  pool.shards = shards;
  tables.pools.emplace(pool.name, pool);
  Route plan;
  plan.name = RouteName{"plan"};
  plan.pool = pool.name;
  tables.routes.emplace(plan.name, plan);
  return tables;
}

}  // namespace

JobFixture::JobFixture(std::size_t nodes, std::uint32_t shards)
    : cluster(nodes, 7) {
  this->cluster.tables = JobTables(shards);
  this->cluster.on_worker_call = [this](std::size_t node,
                                        const CallWorker& call) {
    this->OnCall(node, call);
  };
  this->cluster.on_job_answer = [this](const JobAnswer& answer) {
    this->answers[answer.call] = answer;
  };
}

void JobFixture::AddWorker(const std::string& name, int cores,
                           const std::string& rack) {
  VirtualWorker worker;
  worker.host.name = HostName{name};
  worker.host.address = name;
  worker.host.group = "workers";
  worker.host.rack = rack;
  worker.host.capacity =
      Resources{cores * kMillicores, cores * kMebibytesPerCore, 0};
  this->cluster.worker_hosts[worker.host.name] = worker.host;
  this->workers[worker.host.name] = worker;
}

JobSpec JobFixture::Spec(const std::string& id, int count, int cores) {
  JobSpec spec;
  spec.id = JobId{id};
  spec.route = RouteName{"plan"};
  spec.team = TeamName{"braan"};
  spec.tasks = {
      TaskGroup{static_cast<std::uint32_t>(count),
                Resources{cores * kMillicores, cores * kMebibytesPerCore, 0}}};
  return spec;
}

CallId JobFixture::Submit(const JobSpec& spec, std::size_t node) {
  JobArrived arrived;
  arrived.call = CallId{++this->last_call};
  arrived.operation = JobOperation::kSubmit;
  arrived.spec = spec;
  arrived.timeout = 5s;
  const CallId call = arrived.call;
  this->cluster.Post(node, std::move(arrived));
  return call;
}

CallId JobFixture::Ask(JobOperation operation, const std::string& job,
                       std::size_t node) {
  JobArrived arrived;
  arrived.call = CallId{++this->last_call};
  arrived.operation = operation;
  arrived.spec.id = JobId{job};
  arrived.timeout = 5s;
  const CallId call = arrived.call;
  this->cluster.Post(node, std::move(arrived));
  return call;
}

JobAnswer JobFixture::SubmitAndWait(const JobSpec& spec, std::size_t node) {
  const CallId call = this->Submit(spec, node);
  this->cluster.RunUntil([this, call] { return this->answers.contains(call); },
                         kAnswerLimit);
  return this->answers.at(call);
}

JobStatus JobFixture::StatusOf(const std::string& job, std::size_t node) {
  const CallId call = this->Ask(JobOperation::kStatus, job, node);
  this->cluster.RunUntil([this, call] { return this->answers.contains(call); },
                         kAnswerLimit);
  const JobAnswer& answer = this->answers.at(call);
  return answer.jobs.empty() ? JobStatus() : answer.jobs.front();
}

bool JobFixture::RunUntilState(const std::string& job, JobState state,
                               Duration limit) {
  const TimePoint end = this->cluster.now + limit;
  while (this->StatusOf(job).state != state) {
    if (this->cluster.now >= end) {
      return false;
    }
    this->cluster.RunFor(100ms);
  }
  return true;
}

void JobFixture::Finish(const std::string& task, TaskCondition condition) {
  for (auto& [host, worker] : this->workers) {
    for (auto& [name, run] : worker.runs) {
      const bool matches =
          name.task.value == task && run.condition == TaskCondition::kRunning;
      if (matches) {
        run.condition = condition;
      }
    }
  }
}

int JobFixture::Starts(const std::string& task) const {
  int starts = 0;
  for (const auto& [host, worker] : this->workers) {
    for (const auto& [name, run] : worker.runs) {
      starts += name.task.value == task && run.was_started ? 1 : 0;
    }
  }
  return starts;
}

int JobFixture::Running(const std::string& task) const {
  int running = 0;
  for (const auto& [host, worker] : this->workers) {
    for (const auto& [name, run] : worker.runs) {
      const bool is_running = run.condition == TaskCondition::kRunning &&
                              run.lease_until > this->cluster.now;
      running += name.task.value == task && is_running ? 1 : 0;
    }
  }
  return running;
}

void JobFixture::OnCall(std::size_t node, const CallWorker& call) {
  VirtualWorker& worker = this->workers.at(call.worker);
  WorkerAnswered answer;
  answer.worker = call.worker;
  answer.shard = call.shard;
  answer.epoch = call.epoch;
  if (worker.is_frozen) {
    this->cluster.At(call.deadline, [this, node, answer] {
      this->cluster.Post(node, answer);
    });
    return;
  }
  ++worker.calls;
  this->Lapse(worker);
  if (call.epoch < worker.epoch) {
    answer.result = WorkerResult::kFenced;
  } else {
    answer.result = WorkerResult::kAnswered;
    worker.epoch = call.epoch;
    for (const WorkerCommand& command : call.commands) {
      this->Run(worker, call, command);
    }
    for (const auto& [name, run] : worker.runs) {
      answer.tasks.push_back(ListedTask{name, run.condition, "ended"});
    }
  }
  answer.worker_epoch = worker.epoch;
  this->cluster.At(this->cluster.now + kWorkerDelay,
                   [this, node, answer] { this->cluster.Post(node, answer); });
}

void JobFixture::Run(VirtualWorker& worker, const CallWorker& call,
                     const WorkerCommand& command) {
  if (const auto* start = std::get_if<StartTask>(&command)) {
    this->Start(worker, start->start, call.lease);
  } else if (const auto* stop = std::get_if<StopTask>(&command)) {
    VirtualRun& run = worker.runs[stop->name];
    if (run.condition == TaskCondition::kRunning) {
      run.condition = TaskCondition::kStopped;
    }
  } else if (const auto* renew = std::get_if<RenewTasks>(&command)) {
    for (const TaskAttempt& name : renew->tasks) {
      const auto run = worker.runs.find(name);
      if (run != worker.runs.end()) {
        run->second.lease_until = this->cluster.now + call.lease;
      }
    }
  }
}

void JobFixture::Start(VirtualWorker& worker, const TaskStart& start,
                       Duration lease) {
  if (worker.runs.contains(start.name)) {
    return;
  }
  VirtualRun& run = worker.runs[start.name];
  run.start = start;
  run.from = this->cluster.now;
  run.lease_until = this->cluster.now + lease;
  run.was_started = true;
  if (worker.fails_starts) {
    run.condition = TaskCondition::kFailed;
  }
  this->CountOvercommit(worker);
}

void JobFixture::Lapse(VirtualWorker& worker) const {
  for (auto& [name, run] : worker.runs) {
    const bool has_lapsed = run.condition == TaskCondition::kRunning &&
                            run.lease_until <= this->cluster.now;
    if (has_lapsed) {
      run.condition = TaskCondition::kStopped;
    }
  }
}

void JobFixture::CountOvercommit(const VirtualWorker& worker) {
  Resources used;
  for (const auto& [name, run] : worker.runs) {
    if (run.condition == TaskCondition::kRunning) {
      used += run.start.reserved;
    }
  }
  this->overcommits += Fits(used, worker.host.capacity) ? 0 : 1;
}

}  // namespace test
