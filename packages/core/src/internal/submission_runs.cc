#include "internal/submission_runs.h"

#include <algorithm>

#include "attempts/numbering.h"

namespace basilspread::internal::submission_runs {
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

bool IsReady(const Submission& submission, std::uint32_t step) {
  const auto& after = submission.spec->steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    const StepState& state = submission.steps[earlier];
    return state.succeeded == state.tasks.size();
  });
}

RunState* FindRun(Submission& submission, const RunName& name) {
  if (name.task.step >= submission.steps.size()) {
    return nullptr;
  }
  auto& tasks = submission.steps[name.task.step].tasks;
  return name.task.index < tasks.size() ? &tasks[name.task.index] : nullptr;
}

bool IsOnWorker(const RunState& task, const RunName& name) {
  return !task.worker.value.empty() && task.run == name.run;
}

void ClearRun(RunState& task) {
  task.worker = HostName{};
  task.start_confirmed_at.reset();
  task.unconfirmed_start_fence.reset();
  task.is_from_log = false;
  task.stopping = false;
  if (task.phase != RunPhase::kSucceeded) {
    task.phase = RunPhase::kWaiting;
  }
}

void BeginRun(Submission& submission, const RunName& name,
              const HostName& worker) {
  RunState& task = submission.steps[name.task.step].tasks[name.task.index];
  task.phase = RunPhase::kStarting;
  task.run = name.run;
  attempts::RecordNumber(task, name.run);
  task.worker = worker;
  task.start_confirmed_at.reset();
  task.unconfirmed_start_fence.reset();
  task.is_from_log = false;
  task.stopping = false;
  task.has_reported_progress = false;
  task.percent = 0;
  task.resumed = !task.checkpoint.empty();
  task.has_unknown_start = false;
}

RunReservation ReservationOf(const Submission& submission, std::uint32_t step) {
  const StepSpec& spec = submission.spec->steps[step];
  return {spec.demand, submission.usage, spec.long_running};
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

void RecordSuccess(Submission& submission, const RunName& name) {
  StepState& step = submission.steps[name.task.step];
  if (!IsGang(submission, name.task.step)) {
    MarkSucceeded(step, step.tasks[name.task.index]);
    return;
  }
  for (RunState& task : step.tasks) {
    MarkSucceeded(step, task);
  }
}

std::size_t CountFailure(Submission& submission, const RunName& name) {
  StepState& step = submission.steps[name.task.step];
  RunState& task = IsGang(submission, name.task.step)
                       ? step.tasks.front()
                       : step.tasks[name.task.index];
  task.failed_runs.insert(name.run);
  return task.failed_runs.size();
}

Attempt CurrentRunOfGang(const StepState& step) {
  Attempt current;
  for (const RunState& member : step.tasks) {
    current = std::max(current, member.run);
  }
  return current;
}

bool IsGangOnWorkers(const StepState& step, Attempt run) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [run](const RunState& task) {
                       return !task.worker.value.empty() && task.run == run;
                     });
}

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
    step.gang_started_at.reset();
  }
}

}  // namespace basilspread::internal::submission_runs
