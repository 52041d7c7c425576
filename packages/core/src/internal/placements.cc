#include "internal/placements.h"

#include <fmt/format.h>

#include <vector>

#include "basilspread/core/invariant.h"
#include "internal/job_lookup.h"
#include "internal/log.h"

namespace basilspread::internal::jobs {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

bool MayPlaceOn(const Context& context, const Worker& worker) {
  const bool is_ejected =
      worker.ejected_until && context.now < *worker.ejected_until;
  const bool is_probing = worker.on_probation && !worker.tasks.empty();
  return worker.phase == WorkerPhase::kReady && !worker.silent &&
         !worker.leaving && !is_ejected && !is_probing;
}

std::optional<std::size_t> ChooseSlot(Context& context, JobShard& shard,
                                      const Resources& demand) {
  const Pool* pool = FindWorkerPool(context, shard.pool);
  const auto& choices = context.state.hooks.worker_choices;
  const auto choice =
      choices.find(pool == nullptr ? std::string() : pool->placement);
  if (choice == choices.end()) {
    return std::nullopt;
  }
  return choice->second(shard.index, demand, context.state.random);
}

Worker* FindWorker(JobShard& shard, const HostName& name) {
  const auto found = shard.workers.find(name);
  return found == shard.workers.end() ? nullptr : &found->second;
}

void CheckReserved(const Worker& worker) {
  CheckInvariant(
      Fits(worker.reserved, worker.capacity), "reserved-within-capacity",
      [&worker] {
        return fmt::format(
            "worker={} cpu={}/{} memory={}/{} accelerators={}/{}",
            worker.name.value, worker.reserved.cpu_millicores,
            worker.capacity.cpu_millicores, worker.reserved.memory_mebibytes,
            worker.capacity.memory_mebibytes, worker.reserved.accelerators,
            worker.capacity.accelerators);
      });
}

void RemovePlaced(JobShard& shard, const TaskAttempt& name) {
  shard.placed.erase(name);
}

}  // namespace

void UpdateIndex(const Context& context, JobShard& shard, Worker& worker) {
  std::optional<Resources> free;
  if (MayPlaceOn(context, worker)) {
    free = worker.capacity - worker.reserved;
  }
  shard.index.SetFree(worker.slot, free);
}

std::optional<HostName> ReserveRoom(Context& context, JobShard& shard,
                                    const Resources& demand,
                                    const HostName& avoided) {
  // A task that failed on a worker is placed on another one if possible.
  Worker* excluded = FindWorker(shard, avoided);
  if (excluded != nullptr) {
    shard.index.SetFree(excluded->slot, std::nullopt);
  }
  std::optional<std::size_t> slot = ChooseSlot(context, shard, demand);
  if (excluded != nullptr) {
    UpdateIndex(context, shard, *excluded);
    if (!slot) {
      slot = ChooseSlot(context, shard, demand);
    }
  }
  if (!slot) {
    return std::nullopt;
  }
  Worker& worker = shard.workers.at(shard.slots[*slot]);
  worker.reserved += demand;
  CheckReserved(worker);
  UpdateIndex(context, shard, worker);
  return worker.name;
}

void ReleaseRoom(const Context& context, JobShard& shard,
                 const HostName& worker, const Resources& demand) {
  Worker* found = FindWorker(shard, worker);
  if (found == nullptr) {
    return;
  }
  found->reserved -= demand;
  UpdateIndex(context, shard, *found);
  shard.dirty = true;
}

PlacedTask& AddPlaced(JobShard& shard, const TaskStart& start,
                      const ShardId& home, PlacedPhase phase) {
  PlacedTaskPtr task(new PlacedTask);
  task->start = start;
  task->home = home;
  task->phase = phase;
  shard.placed[start.name] = task;
  Worker* worker = FindWorker(shard, start.worker);
  if (worker != nullptr) {
    worker->tasks.push_back(*task);
  }
  return *task;
}

void AdoptPlaced(const Context& context, JobShard& shard,
                 const TaskStart& start, const ShardId& home) {
  if (shard.placed.contains(start.name)) {
    return;
  }
  AddPlaced(shard, start, home, PlacedPhase::kStarting);
  Worker* worker = FindWorker(shard, start.worker);
  if (worker != nullptr) {
    worker->reserved += start.reserved;
    UpdateIndex(context, shard, *worker);
  }
}

void StopPlaced(JobShard& shard, PlacedTask& task, bool checkpoint) {
  if (task.stopping || task.phase == PlacedPhase::kEnding ||
      task.phase == PlacedPhase::kEnded) {
    return;
  }
  task.stopping = true;
  task.checkpointing = checkpoint;
  if (task.phase == PlacedPhase::kIntending) {
    // Nothing was sent yet; it is ended when the intent record is read back.
    return;
  }
  shard.due.insert(task.start.worker);
}

void EndPlaced(Context& context, const ShardId& id, JobShard& shard,
               PlacedTask& task, TaskResult result, const std::string& detail) {
  task.phase = PlacedPhase::kEnding;
  task.result = result;
  task.detail = detail;
  task.unlink();
  ReleaseRoom(context, shard, task.start.worker, task.start.reserved);
  OutcomeRecord record;
  record.shard = id;
  record.epoch = ownership::EpochOf(context, id);
  record.home = task.home;
  record.name = task.start.name;
  record.result = result;
  record.detail = detail;
  log::Append(context, ownership::StreamOf(id), std::move(record));
}

void ReportPlaced(Context& context, const ShardId& id, PlacedTask& task) {
  if (task.home == id) {
    return;
  }
  task.reported_at = context.now;
  TaskReport report;
  report.name = task.start.name;
  report.worker = task.start.worker;
  report.running = task.phase == PlacedPhase::kRunning;
  if (task.phase == PlacedPhase::kEnded) {
    report.result = task.result;
    report.detail = task.detail;
  }
  Deliver(context, task.home, TaskReports{id, task.home, {report}});
}

void ExpireHolds(Context& context, JobShard& shard) {
  std::vector<HoldId> expired;
  for (const auto& [id, hold] : shard.holds) {
    if (hold.until <= context.now) {
      expired.push_back(id);
    }
  }
  for (const HoldId& id : expired) {
    const Hold& hold = shard.holds.at(id);
    for (const auto& [name, grant] : hold.grants) {
      ReleaseRoom(context, shard, grant.worker, hold.demands.at(name));
    }
    shard.holds.erase(id);
  }
}

void RepeatReports(Context& context, const ShardId& id, JobShard& shard) {
  std::vector<PlacedTaskPtr> ended;
  for (const auto& [name, task] : shard.placed) {
    const bool is_due = !task->reported_at ||
                        context.now - *task->reported_at >= kReportInterval;
    if (task->phase == PlacedPhase::kEnded && is_due) {
      ended.push_back(task);
    }
  }
  for (const PlacedTaskPtr& task : ended) {
    ReportPlaced(context, id, *task);
  }
}

void OnMessage(Context& context, const ProcessId& from,
               const ReserveTasks& message) {
  JobShard* shard = FindOwned(context, message.place);
  if (shard == nullptr) {
    return;
  }
  ReserveAnswer answer{message.hold, message.place, {}};
  const Epoch epoch = ownership::EpochOf(context, message.place);
  Epoch& home_epoch = shard->home_epochs[message.home];
  const bool is_current = message.home_epoch >= home_epoch;
  const bool may_place = ownership::MayAct(context, message.place) &&
                         !context.state.stopping && is_current;
  if (may_place) {
    home_epoch = message.home_epoch;
    Hold& hold = shard->holds[message.hold];
    hold.home = message.home;
    hold.until = context.now + message.hold_for;
    for (const TaskDemand& task : message.tasks) {
      const auto worker = ReserveRoom(context, *shard, task.demand, HostName{});
      if (!worker) {
        continue;
      }
      const TaskGrant grant{task.name, *worker, epoch};
      hold.grants[task.name] = grant;
      hold.demands[task.name] = task.demand;
      answer.grants.push_back(grant);
    }
    if (hold.grants.empty()) {
      shard->holds.erase(message.hold);
    }
  }
  Reply(context, from, answer);
}

void OnMessage(Context& context, const ProcessId& /*from*/,
               const ReleaseHold& message) {
  JobShard* shard = FindOwned(context, message.place);
  if (shard == nullptr || !shard->holds.contains(message.hold)) {
    return;
  }
  shard->holds.at(message.hold).until = context.now;
  ExpireHolds(context, *shard);
}

namespace {

/// Turns a grant into an attempt and appends its intent record. False when the
/// hold has no such grant.
bool StartGranted(Context& context, JobShard& shard,
                  const ConfirmTasks& message, const TaskStart& start) {
  const auto found = shard.holds.find(message.hold);
  if (found == shard.holds.end() ||
      !found->second.grants.contains(start.name)) {
    return false;
  }
  Hold& hold = found->second;
  TaskStart granted = start;
  granted.worker = hold.grants.at(start.name).worker;
  granted.reserved = hold.demands.at(start.name);
  hold.grants.erase(start.name);
  hold.demands.erase(start.name);
  if (hold.grants.empty()) {
    shard.holds.erase(found);
  }
  AddPlaced(shard, granted, message.home, PlacedPhase::kIntending);
  IntentRecord record;
  record.shard = message.place;
  record.epoch = ownership::EpochOf(context, message.place);
  record.home = message.home;
  record.place = message.place;
  record.start = granted;
  log::Append(context, ownership::StreamOf(message.place), std::move(record));
  return true;
}

/// Frees the capacity that was granted to an attempt which was stopped before
/// it was confirmed. The home shard learns of it by its next ConfirmTasks.
void ReleaseGrant(const Context& context, JobShard& shard,
                  const TaskAttempt& name) {
  for (auto& [id, hold] : shard.holds) {
    const auto granted = hold.grants.find(name);
    if (granted != hold.grants.end()) {
      ReleaseRoom(context, shard, granted->second.worker,
                  hold.demands.at(name));
      hold.grants.erase(granted);
      hold.demands.erase(name);
    }
  }
}

}  // namespace

void OnMessage(Context& context, const ProcessId& from,
               const ConfirmTasks& message) {
  JobShard* shard = FindOwned(context, message.place);
  if (shard == nullptr) {
    return;
  }
  // Fences the former owners of the home shard: once a newer one was answered,
  // an older one can no longer confirm the attempt.
  Epoch& home_epoch = shard->home_epochs[message.home];
  if (message.home_epoch < home_epoch) {
    return;
  }
  home_epoch = message.home_epoch;
  const Epoch epoch = ownership::EpochOf(context, message.place);
  TaskReports refused{message.place, message.home, {}};
  for (const TaskStart& start : message.tasks) {
    const auto known = shard->placed.find(start.name);
    if (known != shard->placed.end()) {
      const PlacedTaskPtr task = known->second;
      ReportPlaced(context, message.place, *task);
    } else if (!StartGranted(context, *shard, message, start) &&
               start.granted_by <= epoch) {
      refused.tasks.push_back(TaskReport{start.name, start.worker, false,
                                         TaskResult::kNotStarted,
                                         "the reservation had ended"});
    }
  }
  if (!refused.tasks.empty()) {
    Reply(context, from, refused);
  }
}

void OnMessage(Context& context, const ProcessId& /*from*/,
               const StopTasks& message) {
  JobShard* shard = FindOwned(context, message.place);
  if (shard == nullptr ||
      message.home_epoch < shard->home_epochs[message.home]) {
    return;
  }
  shard->home_epochs[message.home] = message.home_epoch;
  for (const TaskAttempt& name : message.tasks) {
    const auto known = shard->placed.find(name);
    if (known != shard->placed.end()) {
      StopPlaced(*shard, *known->second, false);
    } else {
      ReleaseGrant(context, *shard, name);
    }
  }
}

void OnMessage(Context& context, const ProcessId& /*from*/,
               const TaskReportsAck& message) {
  JobShard* shard = FindOwned(context, message.place);
  if (shard == nullptr) {
    return;
  }
  for (const TaskAttempt& name : message.tasks) {
    const auto known = shard->placed.find(name);
    if (known != shard->placed.end() &&
        known->second->phase == PlacedPhase::kEnded) {
      RemovePlaced(*shard, name);
    }
  }
}

}  // namespace basilspread::internal::jobs
