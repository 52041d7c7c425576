#include "random/ledger.h"

#include <fmt/format.h>

#include <algorithm>

#include "basilspread/core/error.h"

namespace random_test {
namespace {

using basilspread::AnswerFor;
using basilspread::ErrorKind;
using basilspread::Execution;

bool IsNotRun(const std::optional<ErrorKind>& answer) {
  return answer && AnswerFor(*answer).execution == Execution::kNotRun;
}

}  // namespace

void Ledger::Fail(const std::string& what) const {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->schedule.Now());
  throw Violation(fmt::format("{} at={}ms", what, now.count()));
}

void Ledger::OnCallSent(CallId call, const std::string& key, bool idempotent,
                        Duration answer_deadline) {
  Call& entry = this->calls[call];
  entry.key = key;
  entry.idempotent = idempotent;
  entry.answer_deadline = answer_deadline;
}

void Ledger::OnCallerLost(CallId call) {
  const auto found = this->calls.find(call);
  if (found != this->calls.end()) {
    found->second.lost = true;
  }
}

void Ledger::OnAnswered(const AnswerCaller& answer) {
  const auto found = this->calls.find(answer.call);
  if (found == this->calls.end()) {
    this->Fail(fmt::format("An answer is for no known call. call={}",
                           answer.call.value));
  }
  Call& call = found->second;
  if (call.answer) {
    this->Fail(
        fmt::format("A call is answered twice. call={}", answer.call.value));
  }
  call.answer = answer.kind;
  ++this->answered;
  const std::string own =
      call.key.empty() ? std::to_string(answer.call.value) : call.key;
  if (answer.kind == ErrorKind::kNone) {
    ++this->succeeded_calls;
    if (!answer.payload || answer.payload->body != own) {
      this->Fail(fmt::format("A call gets the answer of another one. call={}",
                             answer.call.value));
    }
  }
  const bool has_run =
      call.key.empty() ? call.runs > 0 : this->runs_by_key[call.key] > 0;
  if (IsNotRun(call.answer) && has_run) {
    this->Fail(
        fmt::format("A request that ran is answered not-run. call={} "
                    "kind={}",
                    answer.call.value, AnswerFor(answer.kind).name));
  }
}

void Ledger::OnRequestRun(const std::string& body, const HostName& host) {
  if (body.starts_with(kKeyPrefix)) {
    if (++this->runs_by_key[body] > 1) {
      this->Fail(fmt::format("An idempotency key runs twice. key={} host={}",
                             body, host.value));
    }
    return;
  }
  const CallId id{std::stoull(body)};
  Call& call = this->calls.at(id);
  ++call.runs;
  if (IsNotRun(call.answer)) {
    this->Fail(
        fmt::format("A request runs after the answer not-run. call={} "
                    "host={}",
                    id.value, host.value));
  }
  if (!call.idempotent && call.runs > 1) {
    this->Fail(
        fmt::format("A non-idempotent request runs twice. call={} "
                    "host={}",
                    id.value, host.value));
  }
}

JobId Ledger::JobOf(const TaskId& task) {
  return JobId{task.value.substr(0, task.value.rfind('/'))};
}

void Ledger::OnSubmitted(CallId call, const JobId& id, std::uint32_t task_count,
                         Duration answer_deadline) {
  Job& job = this->jobs[id];
  job.call = call;
  job.tasks = task_count;
  this->job_calls[call] = id;
  this->OnCallSent(call, "", true, answer_deadline);
}

void Ledger::OnJobAnswered(const AnswerJobCaller& effect) {
  const auto found = this->job_calls.find(effect.answer.call);
  if (found == this->job_calls.end()) {
    return;
  }
  AnswerCaller answer;
  answer.call = effect.answer.call;
  // An acceptance carries no body, so it is not counted as a successful answer.
  const bool accepted = effect.answer.kind == ErrorKind::kNone;
  answer.kind = accepted ? ErrorKind::kOutcomeUnknown : effect.answer.kind;
  this->OnAnswered(answer);
  Job& job = this->jobs.at(found->second);
  job.answer = effect.answer.kind;
  if (IsNotRun(job.answer) && job.started) {
    this->Fail(
        fmt::format("A refused job has started. job={}", found->second.value));
  }
}

void Ledger::OnTaskStarted(const TaskAttempt& name, const HostName& host) {
  const auto job = this->jobs.find(JobOf(name.task));
  if (job == this->jobs.end()) {
    this->Fail(
        fmt::format("A task of no known job starts. task={}", name.task.value));
  }
  job->second.started = true;
  if (IsNotRun(job->second.answer)) {
    this->Fail(fmt::format("A task of a refused job starts. task={}",
                           name.task.value));
  }
  Task& task = this->tasks[name.task];
  if (!task.running.empty()) {
    this->Fail(fmt::format(
        "A task runs on two workers at once. task={} first={} "
        "second={}",
        name.task.value, task.running.begin()->first.value, host.value));
  }
  if (task.successes > 0) {
    this->Fail(
        fmt::format("A task starts after it has succeeded. task={} host={}",
                    name.task.value, host.value));
  }
  task.running[host] = name.attempt.value;
}

void Ledger::OnTaskEnded(const TaskAttempt& name, const HostName& host,
                         bool succeeded) {
  Task& task = this->tasks[name.task];
  task.running.erase(host);
  if (succeeded) {
    ++task.successes;
  }
}

void Ledger::OnOwnerActed(const ShardId& shard, Epoch epoch) {
  Epoch& latest = this->highest_epoch[shard];
  if (epoch < latest) {
    this->Fail(fmt::format(
        "An owner calls a host after an owner of a higher epoch. shard={} "
        "epoch={} newer={}",
        shard.value, epoch.value, latest.value));
  }
  latest = epoch;
}

void Ledger::CheckAnswered() const {
  for (const auto& [id, call] : this->calls) {
    if (!call.lost && !call.answer &&
        call.answer_deadline < this->schedule.Now()) {
      this->Fail(fmt::format("A call gets no answer. call={}", id.value));
    }
  }
}

std::vector<JobId> Ledger::UnfinishedJobs() const {
  std::vector<JobId> unfinished;
  for (const auto& [id, job] : this->jobs) {
    if (job.answer != ErrorKind::kNone) {
      continue;
    }
    std::uint32_t successes = 0;
    for (std::uint32_t index = 0; index < job.tasks; ++index) {
      const auto task =
          this->tasks.find(TaskId{fmt::format("{}/{}", id.value, index)});
      successes += task != this->tasks.end() ? task->second.successes : 0;
    }
    if (successes < job.tasks) {
      unfinished.push_back(id);
    }
  }
  return unfinished;
}

std::uint64_t Ledger::AcceptedJobs() const {
  return static_cast<std::uint64_t>(std::count_if(
      this->jobs.begin(), this->jobs.end(), [](const auto& entry) {
        return entry.second.answer == ErrorKind::kNone;
      }));
}

}  // namespace random_test
