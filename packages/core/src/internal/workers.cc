#include "internal/workers.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/membership.h"
#include "internal/placements.h"
#include "internal/worker_health.h"

namespace basilspread::internal::jobs {
namespace {

/// Factor by which the interval of calls to workers without tasks is longer.
constexpr int kIdleIntervals = 5;
/// Time that batch tasks get to finish on a leaving worker.
constexpr Duration kLeavingGrace = std::chrono::seconds(30);

bool IsOnWorker(const PlacedTask& task) {
  return task.phase == PlacedPhase::kStarting ||
         task.phase == PlacedPhase::kRunning;
}

/// Whether all peers are live and report no higher epoch of the shard, so that
/// no other process can have claimed it. Then leases may be renewed even while
/// the log is unavailable.
bool AllPeersAgree(const Context& context, const ShardId& shard) {
  const Epoch epoch = ownership::EpochOf(context, shard);
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (!membership::IsLive(context, peer)) {
      return false;
    }
    for (const ShardReport& report : peer.last_heartbeat.shards) {
      if (report.shard == shard && report.epoch > epoch) {
        return false;
      }
    }
  }
  return true;
}

/// Until when a call to the shard's workers may be sent; unset: not now. A call
/// only starts tasks whose intent record is confirmed and names the worker, so
/// starting one is as safe as renewing its lease.
std::optional<TimePoint> CallUntil(const Context& context,
                                   const ShardId& shard) {
  const auto until = ownership::MayActUntil(context, shard);
  if (until || !ownership::OwnsShard(context, shard)) {
    return until;
  }
  if (AllPeersAgree(context, shard)) {
    return context.now + context.state.settings.heartbeat_interval;
  }
  return std::nullopt;
}

void AddStop(std::vector<WorkerCommand>& commands, const PlacedTask& task) {
  if (task.checkpointing) {
    commands.emplace_back(CheckpointTask{task.start.name});
  }
  commands.emplace_back(StopTask{task.start.name});
}

std::vector<WorkerCommand> CommandsFor(const Worker& worker) {
  std::vector<WorkerCommand> commands;
  if (worker.silent) {
    // A call to a worker that does not answer may be executed late. It must not
    // renew leases, or the time of their lapse would never be known.
    return commands;
  }
  for (const TaskAttempt& name : worker.unknown) {
    commands.emplace_back(StopTask{name});
  }
  RenewTasks renew;
  for (const PlacedTask& task : worker.tasks) {
    if (!IsOnWorker(task)) {
      continue;
    }
    if (task.stopping) {
      AddStop(commands, task);
    } else if (task.phase == PlacedPhase::kStarting &&
               worker.phase == WorkerPhase::kReady) {
      commands.emplace_back(StartTask{task.start});
    } else {
      renew.tasks.push_back(task.start.name);
    }
  }
  if (!renew.tasks.empty()) {
    commands.emplace_back(std::move(renew));
  }
  return commands;
}

void Call(Context& context, const ShardId& id, Worker& worker,
          TimePoint until) {
  const Settings& settings = context.state.settings;
  CallWorker call;
  call.worker = worker.name;
  call.address = worker.address;
  call.shard = id;
  call.epoch = ownership::EpochOf(context, id);
  call.lease = settings.task_lease;
  call.commands = CommandsFor(worker);
  call.deadline = context.now + settings.worker_timeout;
  call.not_after = std::min(until, call.deadline);
  worker.renewable_before = worker.renewable_until;
  if (!call.commands.empty()) {
    worker.renewable_until = call.deadline;
  }
  worker.calling = true;
  context.Emit(std::move(call));
}

/// Ends the attempts on a worker that has not answered for so long that all
/// leases there have lapsed.
void EndLapsed(Context& context, const ShardId& id, JobShard& shard,
               Worker& worker) {
  const Settings& settings = context.state.settings;
  const TimePoint last_renewal =
      std::max(worker.renewable_until, shard.previous_owner_ceased);
  const TimePoint lapse_time =
      last_renewal + settings.task_lease + settings.lapse_margin;
  if (!worker.silent || worker.tasks.empty() || context.now < lapse_time) {
    return;
  }
  std::vector<PlacedTaskPtr> tasks;
  for (PlacedTask& task : worker.tasks) {
    if (IsOnWorker(task)) {
      tasks.emplace_back(&task);
    }
  }
  worker.phase = WorkerPhase::kUnfenced;
  for (const PlacedTaskPtr& task : tasks) {
    EndPlaced(context, id, shard, *task, TaskResult::kLost,
              "the lease lapsed on " + worker.name.value);
  }
}

void DrainLeaving(const Context& context, JobShard& shard, Worker& worker) {
  if (!worker.leaving || !worker.leaving_since) {
    return;
  }
  const bool is_over = context.now - *worker.leaving_since >= kLeavingGrace;
  for (PlacedTask& task : worker.tasks) {
    if (task.start.service || is_over) {
      StopPlaced(shard, task, true);
    }
  }
}

void ApplyListed(Context& context, const ShardId& id, JobShard& shard,
                 Worker& worker, PlacedTask& task, const ListedTask* listed) {
  if (!IsOnWorker(task)) {
    return;
  }
  if (listed == nullptr) {
    // The worker never got the start or lost it in a restart. The same attempt
    // is sent again, since its intent record still names this worker.
    task.phase = PlacedPhase::kStarting;
    return;
  }
  const bool was_running = task.phase == PlacedPhase::kRunning;
  switch (listed->condition) {
    case TaskCondition::kRunning:
      task.phase = PlacedPhase::kRunning;
      if (!was_running) {
        health::OnStarted(context, shard, worker);
        ReportPlaced(context, id, task);
        MarkRunning(context, id, task);
      }
      break;
    case TaskCondition::kSucceeded:
      health::OnStarted(context, shard, worker);
      EndPlaced(context, id, shard, task, TaskResult::kSucceeded, "");
      break;
    case TaskCondition::kFailed:
      if (!was_running) {
        health::OnStartFailed(context, shard, worker);
      }
      EndPlaced(context, id, shard, task, TaskResult::kFailed, listed->detail);
      break;
    case TaskCondition::kStopped:
      EndPlaced(context, id, shard, task, TaskResult::kStopped, "");
      break;
  }
}

/// Reconciles the worker's list of tasks with the attempts whose intent record
/// names it.
void Reconcile(Context& context, const ShardId& id, JobShard& shard,
               Worker& worker, const WorkerAnswered& answer) {
  std::map<TaskAttempt, const ListedTask*> listed;
  for (const ListedTask& task : answer.tasks) {
    listed.emplace(task.name, &task);
  }
  std::vector<PlacedTaskPtr> tasks;
  for (PlacedTask& task : worker.tasks) {
    tasks.emplace_back(&task);
  }
  worker.unknown.clear();
  for (const ListedTask& task : answer.tasks) {
    const auto placed = shard.placed.find(task.name);
    const bool is_known = placed != shard.placed.end() &&
                          placed->second->start.worker == worker.name &&
                          IsOnWorker(*placed->second);
    if (task.condition == TaskCondition::kRunning && !is_known) {
      worker.unknown.insert(task.name);
    }
  }
  for (const PlacedTaskPtr& task : tasks) {
    const auto found = listed.find(task->start.name);
    ApplyListed(context, id, shard, worker, *task,
                found == listed.end() ? nullptr : found->second);
  }
  worker.phase = worker.unknown.empty() ? WorkerPhase::kReady
                                        : WorkerPhase::kStoppingUnknown;
}

bool HasUrgentCommand(const Worker& worker) {
  if (!worker.unknown.empty()) {
    return true;
  }
  return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                     [](const PlacedTask& task) {
                       return task.phase == PlacedPhase::kStarting ||
                              (IsOnWorker(task) && task.stopping);
                     });
}

void AddWorker(JobShard& shard, const Host& host) {
  Worker& worker = shard.workers[host.name];
  worker.name = host.name;
  worker.slot = shard.index.Add(host.capacity);
  shard.slots.push_back(host.name);
  shard.due.insert(host.name);
  for (const auto& [name, task] : shard.placed) {
    const bool is_here =
        task->start.worker == host.name && task->phase <= PlacedPhase::kRunning;
    if (is_here) {
      worker.tasks.push_back(*task);
      worker.reserved += task->start.reserved;
    }
  }
}

}  // namespace

void MatchWorkers(Context& context, const ShardId& id, JobShard& shard) {
  const Pool* pool = FindWorkerPool(context, shard.pool);
  if (pool == nullptr || !context.state.hosts.listed) {
    return;
  }
  std::set<HostName> seen;
  for (const auto& [name, host] : context.state.hosts.hosts) {
    if (host.group != pool->group || ownership::ShardOf(*pool, host) != id) {
      continue;
    }
    if (!shard.workers.contains(name)) {
      AddWorker(shard, host);
    }
    Worker& worker = shard.workers.at(name);
    worker.address = host.address;
    worker.capacity = host.capacity;
    worker.leaving = host.leaving;
    shard.index.SetCapacity(worker.slot, host.capacity);
    seen.insert(name);
  }
  for (auto& [name, worker] : shard.workers) {
    worker.leaving = worker.leaving || !seen.contains(name);
    if (!worker.leaving) {
      worker.leaving_since.reset();
    } else if (!worker.leaving_since) {
      worker.leaving_since = context.now;
    }
    UpdateIndex(context, shard, worker);
  }
  shard.dirty = true;
}

void CallDueWorkers(Context& context, const ShardId& id, JobShard& shard) {
  if (shard.due.empty()) {
    return;
  }
  const std::optional<TimePoint> until = CallUntil(context, id);
  if (!until || context.state.stopping) {
    return;
  }
  std::size_t& in_flight = context.state.jobs.worker_calls;
  while (!shard.due.empty() && in_flight < kMaxWorkerCalls) {
    const HostName name = *shard.due.begin();
    shard.due.erase(shard.due.begin());
    const auto found = shard.workers.find(name);
    const bool is_callable = found != shard.workers.end() &&
                             !found->second.calling &&
                             !found->second.address.empty();
    if (is_callable) {
      ++in_flight;
      Call(context, id, found->second, *until);
    }
  }
}

void WatchWorkers(Context& context, const ShardId& id, JobShard& shard) {
  for (auto& [name, worker] : shard.workers) {
    if (!worker.calling && worker.next_call <= context.now) {
      shard.due.insert(name);
    }
    EndLapsed(context, id, shard, worker);
    DrainLeaving(context, shard, worker);
    health::OnTimer(context, shard, worker);
  }
}

void HandleWorkerAnswer(Context& context, JobShard& shard,
                        const WorkerAnswered& answer) {
  const auto found = shard.workers.find(answer.worker);
  const bool is_current =
      answer.epoch == ownership::EpochOf(context, answer.shard);
  if (found == shard.workers.end() || !is_current) {
    return;
  }
  Worker& worker = found->second;
  const Settings& settings = context.state.settings;
  worker.calling = false;
  const int factor = worker.tasks.empty() ? kIdleIntervals : 1;
  worker.next_call = context.now + settings.worker_interval * factor;
  if (answer.result != WorkerResult::kAnswered) {
    if (answer.result == WorkerResult::kNotSent) {
      worker.renewable_until = worker.renewable_before;
    }
    worker.silent = true;
    worker.next_call = context.now + settings.worker_interval;
    UpdateIndex(context, shard, worker);
    return;
  }
  worker.silent = false;
  worker.last_answer = context.now;
  Reconcile(context, answer.shard, shard, worker, answer);
  UpdateIndex(context, shard, worker);
  shard.dirty = true;
  if (HasUrgentCommand(worker)) {
    shard.due.insert(worker.name);
  }
}

}  // namespace basilspread::internal::jobs
