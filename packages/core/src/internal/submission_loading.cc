#include "internal/submission_loading.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "internal/predecessors.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"
#include "quota/ledger.h"
#include "quota/retained_specs.h"
#include "run_times/summary.h"

namespace basilspread::internal::submission_loading {
namespace {

constexpr std::string_view kPart = "submissions";

void LoadProgress(Context& context, const ProgressRecord& record) {
  SubmissionsState& state = context.state.submissions;
  SubmissionPtr& submission = state.all[record.id];
  if (!submission) {
    submission.reset(new Submission);
    submission->id = record.id;
    submission->accepted = true;
    submission->arrived = context.now;
  }
  submission->state = record.state;
  submission->cancelled_early = record.cancelled_early;
  submission->accepted = submission->accepted && !record.cancelled_early;
  submission->is_stored = true;
  submission->ended_at = context.now;
  submission->loaded_progress = record.tasks;
}

/// Applies the progress that was read from the log to the submission's tasks.
void ApplyProgress(Submission& submission) {
  for (const TaskProgress& progress : submission.loaded_progress) {
    if (progress.step >= submission.steps.size() ||
        progress.index >= submission.steps[progress.step].tasks.size()) {
      continue;
    }
    StepState& step = submission.steps[progress.step];
    RunState& task = step.tasks[progress.index];
    task.run = progress.run;
    task.highest_run = progress.run;
    task.failed_runs.insert(progress.failed_runs.begin(),
                            progress.failed_runs.end());
    if (progress.succeeded) {
      submission_runs::MarkSucceeded(step, task);
    }
  }
  submission.loaded_progress.clear();
}

/// Takes the worker as one that may run anything until it has answered or its
/// leases have lapsed.
void LoadUnreadable(Context& context, const HostName& worker) {
  context.state.submissions.inherited_workers.insert_or_assign(
      worker, WorkerRecord{worker, ""});
}

/// Takes the leader as one that still leads, as far as this process can tell.
void LoadUnreadable(Context& context, const NodeName& node) {
  predecessors::Load(context, LeaderRecord{{node, 0}, "", Epoch{}});
}

void LoadUnreadable(Context& context, const SubmissionId& id) {
  context.state.submissions.unreadable.insert(id);
}

/// Keeps a submission known and starts nothing of it, since what has run is
/// not known.
void Hold(Context& context, const SubmissionId& id) {
  SubmissionPtr& submission = context.state.submissions.all[id];
  if (!submission) {
    submission.reset(new Submission);
    submission->id = id;
    submission->arrived = context.now;
  }
  if (HasEnded(submission->state)) {
    return;
  }
  submission->accepted = true;
  submission->is_stored = true;
  submission->spec.reset();
  submission->steps.clear();
  submission->loaded_progress.clear();
}

}  // namespace

void LoadUnreadable(Context& context, const RecordSubject& subject) {
  const std::string name =
      std::visit([](const auto& of) { return of.value; }, subject);
  context.Log(LogLevel::kError, kPart,
              "A record of the work log cannot be read; what it stands for is "
              "held.",
              {{"subject", name},
               {"epoch", context.state.submissions.leadership.epoch.value}});
  context.Count(Metric::kUnreadableRecords, "");
  std::visit([&context](const auto& of) { LoadUnreadable(context, of); },
             subject);
}

void Load(Context& context, const WorkRecord& record) {
  SubmissionsState& state = context.state.submissions;
  if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
    LoadProgress(context, *progress);
    return;
  }
  if (const auto* worker = std::get_if<WorkerRecord>(&record)) {
    state.inherited_workers.insert_or_assign(worker->worker, *worker);
    return;
  }
  if (const auto* leader = std::get_if<LeaderRecord>(&record)) {
    predecessors::Load(context, *leader);
    return;
  }
  if (const auto* run_times = std::get_if<RunTimesRecord>(&record)) {
    run_times::Load(context, *run_times);
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
  SubmissionPtr made =
      submission_runs::Make(accepted->spec, accepted->policy, context.now);
  made->usage = quota::UsageOf(context, accepted->spec->workspace);
  made->is_beyond_share = accepted->is_beyond_share;
  made->accepted = true;
  made->inherited = true;
  made->accepted_epoch = accepted->epoch;
  if (submission) {
    made->state = submission->state;
    made->is_stored = submission->is_stored;
    made->ended_at = submission->ended_at;
    made->loaded_progress = std::move(submission->loaded_progress);
  }
  submission = std::move(made);
}

void FinishLoading(Context& context) {
  SubmissionsState& state = context.state.submissions;
  for (const SubmissionId& id : std::exchange(state.unreadable, {})) {
    Hold(context, id);
  }
  std::size_t live = 0;
  for (const auto& [id, submission] : state.all) {
    if (HasEnded(submission->state) && submission->spec) {
      retained_specs::OnLoaded(context, *submission);
    }
    if (HasEnded(submission->state) || !submission->spec) {
      continue;
    }
    ++live;
    ApplyProgress(*submission);
    submission->has_started =
        std::any_of(submission->steps.begin(), submission->steps.end(),
                    [](const StepState& step) { return step.succeeded > 0; });
    submission_progress::UpdateWaiting(context, *submission);
    submission_progress::Advance(context, *submission, 0);
  }
  context.Log(
      LogLevel::kInfo, kPart,
      "Read the work log; unfinished submissions resume.",
      {{"epoch", state.leadership.epoch.value},
       {"listings", state.log.listings},
       {"pages", state.log.pages},
       {"submissions", state.all.size()},
       {"live", live},
       {"workers", state.inherited_workers.size()},
       {"closed_workers",
        std::count_if(
            state.inherited_workers.begin(), state.inherited_workers.end(),
            [](const auto& worker) { return worker.second.is_closed; })}});
}

}  // namespace basilspread::internal::submission_loading
