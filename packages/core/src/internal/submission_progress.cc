#include "internal/submission_progress.h"

#include <fmt/format.h>

#include <utility>

#include "attempts/budget.h"
#include "attempts/numbering.h"
#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/long_running.h"
#include "internal/run_watch.h"
#include "internal/step_order.h"
#include "internal/step_placement.h"
#include "internal/submission_runs.h"
#include "internal/work_log.h"
#include "internal/worker_ejection.h"
#include "internal/worker_room.h"
#include "run_times/run_times.h"

namespace basilspread::internal::submission_progress {
namespace {

using submission_runs::ClearRun;
using submission_runs::FindRun;
using submission_runs::IsGang;
using submission_runs::IsOnWorker;

constexpr std::string_view kPart = "submissions";

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

/// What the run reserves, as far as the log tells.
RunReservation ReservationOf(Submission* submission, const RunName& name) {
  if (submission == nullptr || FindRun(*submission, name) == nullptr) {
    RunReservation unknown;
    unknown.is_unattributed = true;
    return unknown;
  }
  return submission_runs::ReservationOf(*submission, name.task.step);
}

RunState* FindRun(Context& context, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  return submission == nullptr ? nullptr : FindRun(*submission, name);
}

void StopAll(Context& context, Submission& submission) {
  for (std::uint32_t step = 0; step < submission.steps.size(); ++step) {
    auto& tasks = submission.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      RunState& task = tasks[index];
      FleetWorker* worker = fleet::Find(context, task.worker);
      if (worker != nullptr && task.phase != RunPhase::kSucceeded) {
        task.stopping = true;
        fleet::StopRunOn(context, *worker,
                         {{submission.id, step, index}, task.run});
      }
    }
  }
}

void End(Context& context, Submission& submission, SubmissionState state) {
  context.Log(LogLevel::kInfo, kPart, "A submission ended.",
              {{"id", submission.id.value},
               {"route", submission.route.value},
               {"state", NameOf(state)},
               {"age_ms", context.now - submission.arrived},
               {"epoch", StateOf(context).leadership.epoch.value}});
  context.Count(Metric::kSubmissionsEnded, NameOf(state));
  context.Observe(Metric::kSubmissionTime, context.now - submission.arrived,
                  submission.route.value);
  step_order::Dequeue(context, submission);
  gang_claims::ReleaseClaims(context, submission.id);
  submission.state = state;
  submission.is_stored = false;
  submission.ended_at = context.now;
  UpdateWaiting(context, submission);
  StopAll(context, submission);
  work_log::Change(context, submission.id);
}

void OnFailed(Context& context, Submission& submission, const RunName& name) {
  const std::size_t failures = submission_runs::CountFailure(submission, name);
  work_log::Change(context, submission.id);
  if (failures >= submission.policy.max_attempts) {
    End(context, submission, SubmissionState::kFailed);
  }
}

/// Updates the run-time statistics and the metrics of ended runs.
void RecordRunEnd(Context& context, Submission& submission,
                  const RunState& task, const ListedEnd& end) {
  constexpr double kMillicores = 1000;
  context.Count(Metric::kRunsEnded, NameOf(end.end));
  if (task.started_at == TimePoint{}) {
    return;
  }
  const Duration time = context.now - task.started_at;
  const std::uint32_t step = end.name.task.step;
  if (long_running::IsLongRunning(submission, step)) {
    context.Log(LogLevel::kInfo, kPart, "A run of a long-running task ended.",
                {{"run", ToString(end.name)},
                 {"worker", task.worker.value},
                 {"end", NameOf(end.end)},
                 {"percent", task.percent},
                 {"age_ms", time},
                 {"failed_startups", task.failed_startups}});
    return;
  }
  if (end.end == RunEnd::kSucceeded) {
    // Of a run whose start was not confirmed, `started_at` is that of an
    // earlier one. A member of a gang also waits for the others.
    const bool is_measured = task.phase == RunPhase::kRunning &&
                             !task.resumed && !task.has_unknown_start;
    if (is_measured && !IsGang(submission, step)) {
      run_times::RecordRun(context, submission, step, task.worker, time);
    }
    return;
  }
  const auto cores =
      static_cast<double>(submission.spec->steps[step].demand.cpu_millicores) /
      kMillicores;
  context.Count(Metric::kWastedWork, "",
                cores * std::chrono::duration<double>(time).count());
  context.Log(LogLevel::kInfo, kPart, "A run ended without success.",
              {{"run", ToString(end.name)},
               {"worker", task.worker.value},
               {"end", NameOf(end.end)},
               {"percent", task.percent},
               {"age_ms", time},
               {"failures", task.failed_runs.size()}});
}

/// Stops a run that makes no progress, so that its task restarts elsewhere from
/// its checkpoint.
void StopStuckRun(Context& context, Submission& submission, FleetWorker& worker,
                  const RunName& name) {
  RunState& task = submission.steps[name.task.step].tasks[name.task.index];
  context.Log(LogLevel::kInfo, kPart,
              "A run makes no progress; stopping it so that its task restarts "
              "elsewhere.",
              {{"run", ToString(name)},
               {"worker", worker.entry.name.value},
               {"percent", task.percent},
               {"still_ms", context.now - task.progressed_at},
               {"age_ms", context.now - task.started_at}});
  context.Count(Metric::kPreemptions, "stuck");
  if (task.stuck_runs == 0) {
    // After a second stop, a wrong estimate of the task is as likely the cause.
    worker_ejection::OnStuck(context, worker);
  }
  ++task.stuck_runs;
  if (IsGang(submission, name.task.step)) {
    BreakGang(context, submission, name.task.step);
    return;
  }
  task.stopping = true;
  fleet::StopRunOn(context, worker, name);
}

/// Takes a run off its task if it is known from the work log only and a later
/// one is known: a run is started only once the one before it is over. How it
/// ended may be unknown.
void Supersede(Context& context, Submission& submission, RunState& task,
               const RunName& by) {
  FleetWorker* worker = fleet::Find(context, task.worker);
  if (!task.is_from_log || worker == nullptr) {
    return;
  }
  const RunName name{by.task, task.run};
  ClearRun(task);
  if (long_running::IsLongRunning(submission, name.task.step)) {
    fleet::Release(context, *worker, name);
    return;
  }
  attempts::AwaitOutcomeOfEnded(context, submission, *worker, name);
}

/// Takes on a run of a task that waits. Its number may be lower than that of a
/// run that has ended, since numbers are not stored: the next leader begins
/// anew while it does not reach a worker.
void AdoptListed(Context& context, Submission& submission, FleetWorker& worker,
                 const ListedRun& run) {
  const std::uint32_t index = run.name.task.step;
  StepState& step = submission.steps[index];
  RunState& task = step.tasks[run.name.task.index];
  const bool fits_gang =
      !IsGang(submission, index) || run.name.run >= task.highest_run;
  step.gang_broken = step.gang_broken || !fits_gang;
  submission_runs::BeginRun(submission, run.name, worker.entry.name);
  task.has_unknown_start = true;
  step.gang_started_at = context.now;
  task.checkpoint = run.checkpoint;
  if (attempts::Resolve(submission, worker.entry.name, run.name)) {
    worker_room::Free(context, worker, run.name);
  }
  // A run that is not to go on occupies its task until it has ended. A broken
  // gang restarts only once its last member has ended.
  task.stopping = step.gang_broken || !submission.inherited;
  fleet::Adopt(context, worker, run.name,
               submission_runs::ReservationOf(submission, index));
  OnStarted(context, run.name);
  if (worker.entry.draining) {
    long_running::OnDraining(context, worker);
  }
}

}  // namespace

void Advance(Context& context, Submission& submission, std::uint32_t step) {
  submission_runs::ResetGang(submission, step);
  if (HasEnded(submission.state) || !submission.spec) {
    return;
  }
  if (submission_runs::HasSucceeded(submission)) {
    End(context, submission, SubmissionState::kCompleted);
    return;
  }
  Enqueue(context, submission);
}

Submission* Find(Context& context, const SubmissionId& id) {
  auto& all = StateOf(context).all;
  const auto found = all.find(id);
  return found == all.end() ? nullptr : found->second.get();
}

void Enqueue(Context& context, Submission& submission) {
  if (!submission.spec || HasEnded(submission.state)) {
    return;
  }
  step_order::Enqueue(context, submission);
  step_placement::Wake(context, submission);
}

void UpdateWaiting(Context& context, Submission& submission) {
  const bool is_waiting = submission.accepted && !submission.has_started &&
                          !HasEnded(submission.state);
  if (std::exchange(submission.is_counted_waiting, is_waiting) == is_waiting) {
    return;
  }
  std::uint32_t& count = StateOf(context).waiting[submission.route];
  count += is_waiting ? 1 : 0;
  count -= is_waiting ? 0 : 1;
}

void Cancel(Context& context, Submission& submission) {
  End(context, submission, SubmissionState::kCancelled);
}

void OnStarted(Context& context, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  RunState* task = FindRun(context, name);
  if (task == nullptr || !IsOnWorker(*task, name)) {
    return;
  }
  task->start_confirmed_at = context.now;
  task->is_from_log = false;
  if (task->phase == RunPhase::kStarting) {
    task->phase = RunPhase::kRunning;
    task->started_at = context.now;
  }
  if (!submission->has_started) {
    submission->has_started = true;
    UpdateWaiting(context, *submission);
    context.Log(LogLevel::kInfo, kPart, "A submission started its first run.",
                {{"id", submission->id.value},
                 {"worker", task->worker.value},
                 {"age_ms", context.now - submission->arrived}});
    context.Observe(Metric::kFirstStartWait, context.now - submission->arrived,
                    submission->route.value);
  }
  if (submission->state == SubmissionState::kQueued) {
    submission->state = SubmissionState::kRunning;
  }
  if (task->stopping) {
    // The run was to be stopped while its start was in flight.
    FleetWorker* worker = fleet::Find(context, task->worker);
    if (worker != nullptr) {
      fleet::StopRunOn(context, *worker, name);
    }
  }
}

void OnNotStarted(Context& context, const RunOrdered& event) {
  Submission* submission = Find(context, event.name.task.submission);
  RunState* task = FindRun(context, event.name);
  if (task == nullptr || !IsOnWorker(*task, event.name)) {
    return;
  }
  ClearRun(*task);
  StepState& step = submission->steps[event.name.task.step];
  const auto ticket = step.allowed.find(event.worker);
  if (event.result == OrderResult::kBadTicket && ticket != step.allowed.end()) {
    // The worker stays allowed; its ticket expired in transit.
    ticket->second.valid_until = context.now;
  }
  if (event.result == OrderResult::kOtherIncarnation) {
    step.allowed.erase(event.worker);
    step.forbidden.erase(event.worker);
  }
  if (event.result == OrderResult::kStale && submission->spec &&
      IsGang(*submission, event.name.task.step)) {
    BreakGang(context, *submission, event.name.task.step);
  }
  Advance(context, *submission, event.name.task.step);
}

void OnStartLost(Context& context, const RunName& name, std::uint64_t fence) {
  RunState* task = FindRun(context, name);
  if (task != nullptr && IsOnWorker(*task, name)) {
    task->unconfirmed_start_fence = fence;
  }
}

void OnRecorded(Context& context, FleetWorker& worker, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  RunState* task = FindRun(context, name);
  if (task == nullptr || HasEnded(submission->state)) {
    // The worker may still be stopping it.
    fleet::AdoptOrphan(context, worker, name, ReservationOf(submission, name));
    return;
  }
  const bool may_run = task->phase != RunPhase::kSucceeded &&
                       !task->failed_runs.contains(name.run);
  if (!may_run) {
    return;
  }
  if (name.run < task->run) {
    attempts::AwaitOutcomeOfEnded(context, *submission, worker, name);
    return;
  }
  Supersede(context, *submission, *task, name);
  StepState& step = submission->steps[name.task.step];
  submission_runs::BeginRun(*submission, name, worker.entry.name);
  task->is_from_log = true;
  task->has_unknown_start = true;
  // Any poll of this leader settles whether the run exists.
  task->unconfirmed_start_fence = 0;
  step.gang_started_at = context.now;
  fleet::Adopt(context, worker, name,
               submission_runs::ReservationOf(*submission, name.task.step));
}

void OnListed(Context& context, FleetWorker& worker, const ListedRun& run) {
  Submission* submission = Find(context, run.name.task.submission);
  RunState* task = FindRun(context, run.name);
  if (task != nullptr && run.name.run > task->run) {
    Supersede(context, *submission, *task, run.name);
  }
  const bool is_wanted = task != nullptr && submission->accepted &&
                         !HasEnded(submission->state) &&
                         task->phase != RunPhase::kSucceeded;
  const bool is_present = task != nullptr && IsOnWorker(*task, run.name) &&
                          task->worker == worker.entry.name;
  if (is_wanted && is_present && !task->stopping) {
    if (!run.checkpoint.empty()) {
      task->checkpoint = run.checkpoint;
    }
    if (task->unconfirmed_start_fence || task->phase == RunPhase::kStarting) {
      task->unconfirmed_start_fence.reset();
      OnStarted(context, run.name);
    }
    run_watch::RecordProgress(context, *task, run);
    if (long_running::IsLongRunning(*submission, run.name.task.step)) {
      long_running::OnProgress(context, *submission, worker, *task);
    }
    if (run_watch::IsStuck(context, *submission, run.name)) {
      StopStuckRun(context, *submission, worker, run.name);
    }
    return;
  }
  if (is_wanted && task->worker.value.empty()) {
    AdoptListed(context, *submission, worker, run);
    return;
  }
  const bool is_other = is_wanted && !is_present;
  if (is_other) {
    attempts::RecordNumber(*task, run.name.run);
  }
  if (is_other && !worker.orphans.contains(run.name) &&
      attempts::Resolve(*submission, worker.entry.name, run.name)) {
    // It has not ended. Nothing is started beside an orphan.
    worker_room::Free(context, worker, run.name);
  }
  fleet::StopOrphan(context, worker, run.name,
                    ReservationOf(submission, run.name));
  if (is_other) {
    attempts::AwaitOutcome(context, *submission, worker.entry.name, run.name);
  }
}

void OnEnded(Context& context, FleetWorker& worker, const ListedEnd& end) {
  Submission* submission = Find(context, end.name.task.submission);
  RunState* task = FindRun(context, end.name);
  if (task == nullptr || !submission->spec) {
    return;
  }
  context.Log(LogLevel::kDebug, kPart, "A run ended.",
              {{"run", ToString(end.name)},
               {"worker", worker.entry.name.value},
               {"end", NameOf(end.end)}});
  attempts::Resolve(*submission, worker.entry.name, end.name);
  const bool is_present =
      IsOnWorker(*task, end.name) && task->worker == worker.entry.name;
  // An earlier leader may have started it.
  attempts::RecordNumber(*task, end.name.run);
  if (!end.checkpoint.empty() && task->phase != RunPhase::kSucceeded) {
    task->checkpoint = end.checkpoint;
  }
  const std::uint32_t step = end.name.task.step;
  const bool was_at_work = is_present && long_running::IsAtWork(*task);
  if (is_present) {
    RecordRunEnd(context, *submission, *task, end);
    ClearRun(*task);
  }
  if (HasEnded(submission->state)) {
    return;
  }
  if (long_running::IsLongRunning(*submission, step)) {
    if (is_present) {
      long_running::OnEnded(context, *submission, worker, *task, end.end,
                            was_at_work);
    }
  } else if (end.end == RunEnd::kSucceeded) {
    submission_runs::RecordSuccess(*submission, end.name);
    work_log::Change(context, submission->id);
    worker_ejection::OnSuccess(worker);
  } else {
    StepState& state = submission->steps[step];
    const bool breaks_gang =
        IsGang(*submission, step) &&
        submission_runs::IsGangOnWorkers(state, end.name.run);
    state.gang_broken = state.gang_broken || breaks_gang;
    if (end.end == RunEnd::kFailed && task->phase != RunPhase::kSucceeded) {
      task->failed_on.insert(worker.entry.name);
      worker_ejection::OnFailure(context, worker, submission->id);
      OnFailed(context, *submission, end.name);
    }
  }
  Advance(context, *submission, step);
}

void OnLost(Context& context, const FleetWorker& worker, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  RunState* task = FindRun(context, name);
  if (task != nullptr &&
      attempts::Resolve(*submission, worker.entry.name, name)) {
    Advance(context, *submission, name.task.step);
    return;
  }
  // Two workers may hold runs of one number: numbers of running tasks are not
  // stored.
  if (task == nullptr || !IsOnWorker(*task, name) ||
      task->worker != worker.entry.name) {
    return;
  }
  const bool was_at_work = long_running::IsAtWork(*task);
  ClearRun(*task);
  if (submission->spec && !HasEnded(submission->state) &&
      long_running::IsLongRunning(*submission, name.task.step)) {
    long_running::OnDown(context, *submission, *task, was_at_work);
  }
  if (submission->spec && !HasEnded(submission->state) &&
      IsGang(*submission, name.task.step)) {
    BreakGang(context, *submission, name.task.step);
  }
  Advance(context, *submission, name.task.step);
}

bool MustBeListed(Context& context, const RunName& name,
                  const WorkerPolled& poll) {
  const RunState* task = FindRun(context, name);
  if (task == nullptr || !IsOnWorker(*task, name) ||
      task->worker != poll.worker) {
    return true;
  }
  if (task->unconfirmed_start_fence) {
    return poll.fence > *task->unconfirmed_start_fence;
  }
  return task->start_confirmed_at && *task->start_confirmed_at < poll.sent_at;
}

void BreakGang(Context& context, Submission& submission, std::uint32_t index) {
  StepState& step = submission.steps[index];
  if (step.gang_broken || step.succeeded == step.tasks.size()) {
    return;
  }
  step.gang_broken = true;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    RunState& task = step.tasks[i];
    FleetWorker* worker = fleet::Find(context, task.worker);
    if (worker != nullptr && !task.stopping) {
      task.stopping = true;
      fleet::StopRunOn(context, *worker, {{submission.id, index, i}, task.run});
    }
  }
}

}  // namespace basilspread::internal::submission_progress
