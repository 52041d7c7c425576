#include "internal/submission_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/fleet.h"
#include "internal/step_placement.h"
#include "internal/work_log.h"

namespace basilspread::internal::submission_progress {
namespace {

constexpr std::string_view kPart = "submissions";

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

/// The run's task, if the submission still has work and this is its run.
RunState* FindRun(Submission& submission, const RunName& name) {
  if (name.task.step >= submission.steps.size()) {
    return nullptr;
  }
  auto& tasks = submission.steps[name.task.step].tasks;
  return name.task.index < tasks.size() ? &tasks[name.task.index] : nullptr;
}

RunState* FindRun(Context& context, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  return submission == nullptr ? nullptr : FindRun(*submission, name);
}

bool IsPresent(const RunState& task, const RunName& name) {
  return !task.worker.value.empty() && task.run == name.run;
}

/// The run has ended; its task waits again unless it succeeded.
void Clear(RunState& task) {
  task.worker = HostName{};
  task.certain_at.reset();
  task.lost_under_fence.reset();
  task.stopping = false;
  if (task.phase != RunPhase::kSucceeded) {
    task.phase = RunPhase::kWaiting;
  }
}

/// Length of the longest chain of steps, by the caller's estimates.
Duration LongestChain(const SubmissionSpec& spec) {
  std::vector<Duration> ends(spec.steps.size());
  Duration longest{};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    Duration begin{};
    for (const std::uint32_t earlier : spec.steps[i].after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[i] = begin + spec.steps[i].expected_run_time;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

/// Until when the submission may start and still meet its target: the least
/// slack goes first.
TimePoint LatestStart(const Submission& submission) {
  const std::chrono::duration<double> chain = LongestChain(*submission.spec);
  const auto slack = std::chrono::duration_cast<Duration>(
      chain * std::max(0.0, submission.policy.stretch - 1.0));
  return submission.arrived + submission.policy.target_latency + slack;
}

void Dequeue(Context& context, Submission& submission) {
  if (submission.spec) {
    StateOf(context).queue.erase({LatestStart(submission), submission.id});
  }
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
  context.Log(
      LogLevel::kInfo, kPart,
      fmt::format("A submission ended. id={} route={} state={} "
                  "age_ms={}",
                  submission.id.value, submission.route.value, NameOf(state),
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      context.now - submission.arrived)
                      .count()));
  Dequeue(context, submission);
  submission.state = state;
  submission.is_stored = false;
  submission.ended_at = context.now;
  StopAll(context, submission);
  work_log::Change(context, submission.id);
}

bool IsGang(const Submission& submission, std::uint32_t step) {
  return submission.spec->steps[step].gang;
}

bool HasSucceeded(const Submission& submission) {
  return std::all_of(submission.steps.begin(), submission.steps.end(),
                     [](const StepState& step) {
                       return step.succeeded == step.tasks.size();
                     });
}

void MarkSucceeded(StepState& step, RunState& task) {
  if (task.phase != RunPhase::kSucceeded) {
    task.phase = RunPhase::kSucceeded;
    ++step.succeeded;
  }
}

/// One member's success stands for the gang's.
void Succeed(Submission& submission, const RunName& name) {
  StepState& step = submission.steps[name.task.step];
  if (!IsGang(submission, name.task.step)) {
    MarkSucceeded(step, step.tasks[name.task.index]);
    return;
  }
  for (RunState& task : step.tasks) {
    MarkSucceeded(step, task);
  }
}

/// Counts a failed run once; a gang's at its first member. Returns how many
/// runs have failed.
std::size_t CountFailure(Submission& submission, const RunName& name) {
  StepState& step = submission.steps[name.task.step];
  RunState& task = IsGang(submission, name.task.step)
                       ? step.tasks.front()
                       : step.tasks[name.task.index];
  task.failed_runs.insert(name.run);
  return task.failed_runs.size();
}

/// Whether a member of the gang still occupies room for this run.
bool IsGangPresent(const StepState& step, Attempt run) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [run](const RunState& task) {
                       return !task.worker.value.empty() && task.run == run;
                     });
}

/// Once no member occupies room any longer, a broken gang waits anew.
void ResetGang(Submission& submission, std::uint32_t index) {
  StepState& step = submission.steps[index];
  if (!submission.spec || !IsGang(submission, index)) {
    return;
  }
  const bool is_idle = std::all_of(
      step.tasks.begin(), step.tasks.end(),
      [](const RunState& task) { return task.worker.value.empty(); });
  if (is_idle) {
    step.gang_broken = false;
    step.gang_began.reset();
  }
}

void GoOn(Context& context, Submission& submission, std::uint32_t step) {
  ResetGang(submission, step);
  if (HasEnded(submission.state) || !submission.spec) {
    return;
  }
  if (HasSucceeded(submission)) {
    End(context, submission, SubmissionState::kCompleted);
    return;
  }
  Enqueue(context, submission);
}

void LoadProgress(Context& context, const ProgressRecord& record) {
  SubmissionsState& state = StateOf(context);
  SubmissionPtr& submission = state.all[record.id];
  if (!submission) {
    submission.reset(new Submission);
    submission->id = record.id;
    submission->accepted = true;
    submission->arrived = context.now;
  }
  submission->state = record.state;
  submission->is_stored = true;
  submission->ended_at = context.now;
  submission->loaded = record.tasks;
}

/// Puts what was read of tasks on the submission.
void ApplyProgress(Submission& submission) {
  for (const TaskProgress& progress : submission.loaded) {
    if (progress.step >= submission.steps.size() ||
        progress.index >= submission.steps[progress.step].tasks.size()) {
      continue;
    }
    StepState& step = submission.steps[progress.step];
    RunState& task = step.tasks[progress.index];
    task.run = progress.run;
    task.failed_runs.insert(progress.failed_runs.begin(),
                            progress.failed_runs.end());
    if (progress.succeeded) {
      MarkSucceeded(step, task);
    }
  }
  submission.loaded.clear();
}

void OnFailed(Context& context, Submission& submission, const RunName& name) {
  const std::size_t failures = CountFailure(submission, name);
  work_log::Change(context, submission.id);
  if (failures >= submission.policy.max_attempts) {
    End(context, submission, SubmissionState::kFailed);
  }
}

}  // namespace

void Load(Context& context, const WorkRecord& record) {
  SubmissionsState& state = StateOf(context);
  if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
    LoadProgress(context, *progress);
    return;
  }
  const auto* accepted = std::get_if<AcceptedRecord>(&record);
  if (accepted == nullptr) {
    return;
  }
  SubmissionPtr& submission = state.all[accepted->spec->id];
  if (submission && submission->spec) {
    return;
  }
  SubmissionPtr made = Make(accepted->spec, accepted->policy, context.now);
  made->accepted = true;
  made->inherited = true;
  if (submission) {
    made->state = submission->state;
    made->is_stored = submission->is_stored;
    made->ended_at = submission->ended_at;
    made->loaded = std::move(submission->loaded);
  }
  submission = std::move(made);
}

void FinishLoading(Context& context) {
  std::size_t live = 0;
  for (const auto& [id, submission] : StateOf(context).all) {
    if (HasEnded(submission->state) || !submission->spec) {
      continue;
    }
    ++live;
    ApplyProgress(*submission);
    submission->began =
        std::any_of(submission->steps.begin(), submission->steps.end(),
                    [](const StepState& step) { return step.succeeded > 0; });
    GoOn(context, *submission, 0);
  }
  context.Log(LogLevel::kInfo, kPart,
              fmt::format("The work log was read. submissions={} live={}",
                          StateOf(context).all.size(), live));
}

SubmissionPtr Make(const SubmissionSpecPtr& spec, const QueuePolicy& policy,
                   TimePoint arrived) {
  SubmissionPtr submission(new Submission);
  submission->id = spec->id;
  submission->spec = spec;
  submission->policy = policy;
  submission->route = spec->route;
  submission->arrived = arrived;
  for (const StepSpec& step : spec->steps) {
    StepState state;
    state.tasks.resize(step.count);
    submission->steps.push_back(std::move(state));
  }
  return submission;
}

Submission* Find(Context& context, const SubmissionId& id) {
  auto& all = StateOf(context).all;
  const auto found = all.find(id);
  return found == all.end() ? nullptr : found->second.get();
}

bool IsReady(const Submission& submission, std::uint32_t step) {
  const auto& after = submission.spec->steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    const StepState& state = submission.steps[earlier];
    return state.succeeded == state.tasks.size();
  });
}

void Enqueue(Context& context, Submission& submission) {
  if (!submission.spec || HasEnded(submission.state)) {
    return;
  }
  StateOf(context).queue.insert({LatestStart(submission), submission.id});
  step_placement::Request(context);
}

void Cancel(Context& context, Submission& submission) {
  End(context, submission, SubmissionState::kCancelled);
}

void BeginRun(Submission& submission, const RunName& name,
              const HostName& worker) {
  RunState& task = submission.steps[name.task.step].tasks[name.task.index];
  task.phase = RunPhase::kStarting;
  task.run = name.run;
  task.worker = worker;
  task.certain_at.reset();
  task.lost_under_fence.reset();
  task.stopping = false;
}

void OnStarted(Context& context, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  RunState* task = FindRun(context, name);
  if (task == nullptr || !IsPresent(*task, name)) {
    return;
  }
  task->certain_at = context.now;
  if (task->phase == RunPhase::kStarting) {
    task->phase = RunPhase::kRunning;
  }
  if (!submission->began) {
    submission->began = true;
    context.Log(
        LogLevel::kInfo, kPart,
        fmt::format("A submission began. id={} worker={} age_ms={}",
                    submission->id.value, task->worker.value,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        context.now - submission->arrived)
                        .count()));
  }
  if (submission->state == SubmissionState::kQueued) {
    submission->state = SubmissionState::kRunning;
  }
  if (task->stopping) {
    // It was to be stopped while its start was under way.
    FleetWorker* worker = fleet::Find(context, task->worker);
    if (worker != nullptr) {
      fleet::StopRunOn(context, *worker, name);
    }
  }
}

void OnNotStarted(Context& context, const RunOrdered& event) {
  Submission* submission = Find(context, event.name.task.submission);
  RunState* task = FindRun(context, event.name);
  if (task == nullptr || !IsPresent(*task, event.name)) {
    return;
  }
  Clear(*task);
  StepState& step = submission->steps[event.name.task.step];
  if (event.result == OrderResult::kBadTicket) {
    step.allowed.erase(event.worker);
  }
  if (event.result == OrderResult::kOtherIncarnation) {
    step.allowed.erase(event.worker);
    step.forbidden.erase(event.worker);
  }
  if (event.result == OrderResult::kStale && submission->spec &&
      IsGang(*submission, event.name.task.step)) {
    BreakGang(context, *submission, event.name.task.step);
  }
  GoOn(context, *submission, event.name.task.step);
}

void OnStartLost(Context& context, const RunName& name, std::uint64_t fence) {
  RunState* task = FindRun(context, name);
  if (task != nullptr && IsPresent(*task, name)) {
    task->lost_under_fence = fence;
  }
}

void OnListed(Context& context, FleetWorker& worker, const ListedRun& run) {
  Submission* submission = Find(context, run.name.task.submission);
  RunState* task = FindRun(context, run.name);
  const bool is_wanted = task != nullptr && submission->accepted &&
                         !HasEnded(submission->state) &&
                         task->phase != RunPhase::kSucceeded;
  const bool is_present = task != nullptr && IsPresent(*task, run.name) &&
                          task->worker == worker.entry.name;
  if (is_wanted && is_present && !task->stopping) {
    if (!run.checkpoint.empty()) {
      task->checkpoint = run.checkpoint;
    }
    if (task->lost_under_fence || task->phase == RunPhase::kStarting) {
      task->lost_under_fence.reset();
      OnStarted(context, run.name);
    }
    return;
  }
  const bool is_free = is_wanted && task->worker.value.empty() &&
                       run.name.run >= task->run &&
                       !submission->steps[run.name.task.step].gang_broken;
  if (is_free && submission->inherited) {
    const StepSpec& spec = submission->spec->steps[run.name.task.step];
    BeginRun(*submission, run.name, worker.entry.name);
    submission->steps[run.name.task.step].gang_began = context.now;
    task->checkpoint = run.checkpoint;
    fleet::Adopt(context, worker, run.name, spec.demand);
    OnStarted(context, run.name);
    return;
  }
  fleet::StopStranger(context, worker, run.name);
}

void OnEnded(Context& context, FleetWorker& worker, const ListedEnd& end) {
  Submission* submission = Find(context, end.name.task.submission);
  RunState* task = FindRun(context, end.name);
  if (task == nullptr || !submission->spec) {
    return;
  }
  context.Log(
      LogLevel::kDebug, kPart,
      fmt::format("A run ended. run={} worker={} end={}", ToString(end.name),
                  worker.entry.name.value, NameOf(end.end)));
  const bool is_present =
      IsPresent(*task, end.name) && task->worker == worker.entry.name;
  if (task->worker.value.empty()) {
    // A run that an earlier leader started.
    task->run = std::max(task->run, end.name.run);
  }
  if (!end.checkpoint.empty() && task->phase != RunPhase::kSucceeded) {
    task->checkpoint = end.checkpoint;
  }
  const std::uint32_t step = end.name.task.step;
  if (is_present) {
    Clear(*task);
  }
  if (HasEnded(submission->state)) {
    return;
  }
  if (end.end == RunEnd::kSucceeded) {
    Succeed(*submission, end.name);
    work_log::Change(context, submission->id);
    worker.failures = 0;
  } else {
    StepState& state = submission->steps[step];
    const bool breaks_gang =
        IsGang(*submission, step) && IsGangPresent(state, end.name.run);
    state.gang_broken = state.gang_broken || breaks_gang;
    if (end.end == RunEnd::kFailed && task->phase != RunPhase::kSucceeded) {
      OnFailed(context, *submission, end.name);
    }
  }
  GoOn(context, *submission, step);
}

void OnLost(Context& context, const RunName& name) {
  Submission* submission = Find(context, name.task.submission);
  RunState* task = FindRun(context, name);
  if (task == nullptr || !IsPresent(*task, name)) {
    return;
  }
  Clear(*task);
  if (submission->spec && !HasEnded(submission->state) &&
      IsGang(*submission, name.task.step)) {
    BreakGang(context, *submission, name.task.step);
  }
  GoOn(context, *submission, name.task.step);
}

bool MustBeListed(Context& context, const RunName& name,
                  const WorkerLooked& look) {
  const RunState* task = FindRun(context, name);
  if (task == nullptr || !IsPresent(*task, name)) {
    return true;
  }
  if (task->lost_under_fence) {
    return look.fence > *task->lost_under_fence;
  }
  return task->certain_at && *task->certain_at < look.sent_at;
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
