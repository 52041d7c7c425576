#include "random/fake_worker.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <variant>

namespace random_test {
namespace {

using basilspread::RenewTasks;
using basilspread::StartTask;
using basilspread::StopTask;
using basilspread::TaskStart;
using basilspread::WorkerResult;

/// The command of a task is its run time in milliseconds.
Duration RunTimeOf(const TaskStart& start) {
  return std::chrono::milliseconds(std::stoll(start.command));
}

}  // namespace

WorkerAnswered FakeWorker::Handle(const CallWorker& call) {
  WorkerAnswered answer;
  answer.worker = this->name;
  answer.shard = call.shard;
  answer.epoch = call.epoch;
  if (call.epoch < this->epoch) {
    answer.result = WorkerResult::kFenced;
    answer.worker_epoch = this->epoch;
    return answer;
  }
  this->epoch = call.epoch;
  this->ledger.OnOwnerActed(ShardId{"worker " + this->name.value}, call.epoch);
  for (const auto& command : call.commands) {
    if (const auto* start = std::get_if<StartTask>(&command)) {
      this->Start(start->start, call.lease);
    } else if (const auto* stop = std::get_if<StopTask>(&command)) {
      this->Stop(stop->name);
    } else if (const auto* renew = std::get_if<RenewTasks>(&command)) {
      for (const TaskAttempt& attempt : renew->tasks) {
        this->Renew(attempt, call.lease);
      }
    }
  }
  answer.result = WorkerResult::kAnswered;
  answer.worker_epoch = this->epoch;
  for (const auto& [attempt, task] : this->tasks) {
    answer.tasks.push_back(task.listed);
  }
  return answer;
}

void FakeWorker::Start(const TaskStart& start, Duration lease) {
  if (this->tasks.contains(start.name)) {
    this->Renew(start.name, lease);
    return;
  }
  Task& task = this->tasks[start.name];
  task.listed.name = start.name;
  task.reserved = start.reserved;
  if (this->failing > 0) {
    task.listed.condition = TaskCondition::kFailed;
    task.listed.detail = "cannot start";
    return;
  }
  this->ledger.OnTaskStarted(start.name, this->name);
  this->CheckCapacity();
  task.lease_until = this->schedule.Now() + lease;
  this->WatchLease(start.name);
  if (!start.service) {
    this->schedule.After(RunTimeOf(start), [this, attempt = start.name] {
      this->End(this->tasks.at(attempt), TaskCondition::kSucceeded);
    });
  }
}

void FakeWorker::Stop(const TaskAttempt& attempt) {
  Task& task = this->tasks[attempt];
  if (task.listed.name != attempt) {
    task.listed.name = attempt;
    task.listed.condition = TaskCondition::kStopped;
    return;
  }
  this->End(task, TaskCondition::kStopped);
}

void FakeWorker::Renew(const TaskAttempt& attempt, Duration lease) {
  const auto found = this->tasks.find(attempt);
  if (found != this->tasks.end()) {
    found->second.lease_until = this->schedule.Now() + lease;
  }
}

void FakeWorker::End(Task& task, TaskCondition condition) {
  if (task.listed.condition != TaskCondition::kRunning) {
    return;
  }
  task.listed.condition = condition;
  this->ledger.OnTaskEnded(task.listed.name, this->name,
                           condition == TaskCondition::kSucceeded);
}

void FakeWorker::WatchLease(const TaskAttempt& attempt) {
  const Duration left =
      this->tasks.at(attempt).lease_until - this->schedule.Now();
  this->schedule.After(left, [this, attempt] {
    Task& task = this->tasks.at(attempt);
    if (task.listed.condition != TaskCondition::kRunning) {
      return;
    }
    if (task.lease_until > this->schedule.Now()) {
      this->WatchLease(attempt);
      return;
    }
    task.listed.detail = "lease lapsed";
    this->End(task, TaskCondition::kStopped);
  });
}

void FakeWorker::CheckCapacity() const {
  Resources used;
  for (const auto& [attempt, task] : this->tasks) {
    if (task.listed.condition == TaskCondition::kRunning) {
      used += task.reserved;
    }
  }
  if (!basilspread::Fits(used, this->capacity)) {
    throw Violation(fmt::format(
        "A worker is overcommitted. host={} cpu_millicores={} memory={}",
        this->name.value, used.cpu_millicores, used.memory_mebibytes));
  }
}

}  // namespace random_test
