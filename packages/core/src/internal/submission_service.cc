#include "internal/submission_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "access/key_access.h"
#include "admission/admission.h"
#include "fair_order/share.h"
#include "internal/candidacy.h"
#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/leader_release.h"
#include "internal/leadership.h"
#include "internal/load_shedding.h"
#include "internal/long_running.h"
#include "internal/other_runs.h"
#include "internal/own_load.h"
#include "internal/queue_tables.h"
#include "internal/step_advice.h"
#include "internal/step_order.h"
#include "internal/submission_calls.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"
#include "internal/work_log.h"
#include "quota/ledger.h"
#include "quota/retained_specs.h"
#include "run_times/run_times.h"
#include "status_wait/status_wait.h"
#include "takeover_wait/inherited_work.h"

namespace basilspread::internal::service {
namespace {

constexpr std::string_view kPart = "submissions";
/// Well below the usual scrape interval of the gauges.
constexpr Duration kGaugeInterval = std::chrono::seconds(1);
constexpr std::int64_t kMillicores = 1000;
constexpr Duration kExpiryInterval = std::chrono::seconds(5);

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

void Reply(Context& context, const ProcessId& to,
           const SubmissionAnswer& answer) {
  if (to == context.state.settings.self) {
    submission_calls::OnAnswer(context, to, answer);
    return;
  }
  other_runs::Send(context, to, answer);
}

void Reply(Context& context, const ProcessId& to, CallId call, ErrorKind kind) {
  SubmissionAnswer answer;
  answer.call = call;
  answer.kind = kind;
  Reply(context, to, answer);
}

struct Refusal {
  ErrorKind kind;
  Duration retry_after{};
};

/// Why a new submission is not taken on; unset if it is.
std::optional<Refusal> FindRefusal(Context& context, const QueueRoute& route,
                                   Submission& submission) {
  const bool is_beyond_share = submission.is_beyond_share;
  if (const auto wait =
          load_shedding::RefuseFor(context, route, is_beyond_share)) {
    return Refusal{ErrorKind::kOverloaded, *wait};
  }
  if (!long_running::FitsPool(context, *submission.spec, route.policy.pool)) {
    return Refusal{ErrorKind::kQueueFull, long_running::RetryAfter(context)};
  }
  if (!work_log::IsAvailable(context)) {
    return Refusal{ErrorKind::kLogUnavailable};
  }
  if (const auto wait = admission::RejectFor(context, submission)) {
    return Refusal{ErrorKind::kQueueFull, *wait};
  }
  return std::nullopt;
}

void Submit(Context& context, const ProcessId& from,
            const SubmissionCall& message) {
  SubmissionsState& state = StateOf(context);
  if (Submission* known = submission_progress::Find(context, message.id)) {
    if (!access::MayUse(message, *known)) {
      return Reply(context, from, message.call, ErrorKind::kConflict);
    }
    if (known->cancelled_early) {
      // Before the cancellation is stored, another leader could accept a copy.
      Reply(context, from, message.call,
            known->is_stored ? ErrorKind::kCancelled : ErrorKind::kNotReady);
    } else if (known->accepted) {
      Reply(context, from, message.call, ErrorKind::kNone);
    } else {
      known->submitters.emplace_back(from, message.call);
    }
    return;
  }
  const QueueRoute* route = queue_tables::Find(context, message.route);
  if (route == nullptr) {
    // The sender has newer tables, which this process receives shortly.
    return Reply(context, from, message.call, ErrorKind::kNotReady);
  }
  const SubmissionPtr submission =
      submission_runs::Make(message.spec, route->policy, context.now);
  submission->is_beyond_share =
      fair_order::IsBeyondShare(context, message.spec->workspace);
  if (const auto refusal = FindRefusal(context, *route, *submission)) {
    SubmissionAnswer answer;
    answer.call = message.call;
    answer.kind = refusal->kind;
    answer.retry_after = refusal->retry_after;
    return Reply(context, from, answer);
  }
  fair_order::OnAdmitted(context, *submission);
  submission->usage = quota::UsageOf(context, message.spec->workspace);
  submission->submitters.emplace_back(from, message.call);
  state.all.emplace(message.id, submission);
  work_log::Accept(context, *submission);
  submission_progress::Enqueue(context, *submission);
}

/// The state to report. A terminal state is reported only once it is stored, so
/// that no later leader contradicts it.
SubmissionState ReportedState(const Submission& submission) {
  if (!HasEnded(submission.state) || submission.is_stored) {
    return submission.state;
  }
  return submission.has_started ? SubmissionState::kRunning
                                : SubmissionState::kQueued;
}

void ReplyUnknown(Context& context, const ProcessId& from, CallId call) {
  Reply(context, from, call,
        leadership::IsConfirmed(context) ? ErrorKind::kUnknownSubmission
                                         : ErrorKind::kNotReady);
}

void ReplyState(Context& context, const Submission& submission,
                const status_wait::Caller& caller) {
  SubmissionAnswer answer;
  answer.call = caller.second;
  answer.state = ReportedState(submission);
  Reply(context, caller.first, answer);
}

void ReplyStatus(Context& context, const ProcessId& from,
                 const SubmissionCall& message) {
  Submission* submission = submission_progress::Find(context, message.id);
  if (submission == nullptr || submission->cancelled_early ||
      !access::MayUse(message, *submission)) {
    return ReplyUnknown(context, from, message.call);
  }
  if (!submission->accepted) {
    return Reply(context, from, message.call, ErrorKind::kNotReady);
  }
  const status_wait::Caller caller{from, message.call};
  if (!status_wait::Hold(context, *submission, caller)) {
    ReplyState(context, *submission, caller);
  }
}

/// Result of a cancel whose record is stored.
ErrorKind CancelResult(const Submission& submission) {
  const bool is_cancelled = submission.state == SubmissionState::kCancelled &&
                            !submission.cancelled_early;
  return is_cancelled ? ErrorKind::kNone : ErrorKind::kUnknownSubmission;
}

/// Cancels a submission that has not arrived. A process that was paused or a
/// slow connection may still hold the call that submits it, so the cancellation
/// is stored like that of a known one before it is acknowledged.
void CancelEarly(Context& context, const ProcessId& from,
                 const SubmissionCall& message) {
  if (!work_log::IsAvailable(context)) {
    return Reply(context, from, message.call, ErrorKind::kLogUnavailable);
  }
  const SubmissionPtr submission(new Submission);
  submission->id = message.id;
  submission->state = SubmissionState::kCancelled;
  submission->cancelled_early = true;
  submission->arrived = context.now;
  submission->ended_at = context.now;
  submission->cancellers.emplace_back(from, message.call);
  StateOf(context).all.emplace(message.id, submission);
  context.Log(LogLevel::kInfo, kPart,
              "Records the cancellation of a submission that has not arrived.",
              {{"id", message.id.value},
               {"epoch", StateOf(context).leadership.epoch.value}});
  work_log::Change(context, message.id);
}

void Cancel(Context& context, const ProcessId& from,
            const SubmissionCall& message) {
  Submission* submission = submission_progress::Find(context, message.id);
  if (submission == nullptr) {
    return CancelEarly(context, from, message);
  }
  if (!access::MayUse(message, *submission)) {
    return ReplyUnknown(context, from, message.call);
  }
  if (!submission->accepted && !submission->cancelled_early) {
    return Reply(context, from, message.call, ErrorKind::kNotReady);
  }
  if (HasEnded(submission->state) && submission->is_stored) {
    return Reply(context, from, message.call, CancelResult(*submission));
  }
  submission->cancellers.emplace_back(from, message.call);
  if (!HasEnded(submission->state)) {
    submission_progress::Cancel(context, *submission);
  }
}

void CountWaiting(Context& context, const ProcessId& from,
                  const SubmissionCall& message) {
  const auto& waiting = StateOf(context).waiting;
  const auto count = waiting.find(message.route);
  SubmissionAnswer answer;
  answer.call = message.call;
  answer.waiting = count == waiting.end() ? 0 : count->second;
  Reply(context, from, answer);
}

/// Logs the leader's backlog, its work in the last second and the free
/// capacity.
void LogLoad(Context& context, std::int64_t usable, const Resources& free) {
  const SubmissionsState& state = StateOf(context);
  const LoadWindow& load = context.state.load.before;
  const auto& in_flight = state.log.in_flight;
  context.Log(
      LogLevel::kInfo, "load", "The leader's load in the last second.",
      {{"epoch", state.leadership.epoch.value},
       {"busy_share", own_load::BusyShare(context)},
       {"events", load.events},
       {"most_waiting", load.max_waiting},
       {"longest_delay_ms", load.max_delay},
       {"passes", load.passes},
       {"submissions_looked_at", load.submissions_looked_at},
       {"workers_looked_at", load.workers_looked_at},
       {"tasks_placed", load.tasks_placed},
       {"queue", state.queue.size()},
       {"workers_usable", usable},
       {"free_cores", free.cpu_millicores / kMillicores},
       {"questions", state.advice_queries.size()},
       {"calls", state.calls.size()},
       {"records_waiting",
        state.log.accepted.size() + state.log.changed.size()},
       {"append_age_ms", in_flight ? context.now - state.log.in_flight_since
                                   : Duration::zero()}});
}

/// Steps with tasks that are ready to be placed, by the reason for their wait.
std::map<WaitReason, std::size_t> CountWaitingSteps(const Context& context) {
  std::map<WaitReason, std::size_t> counts;
  const SubmissionsState& state = context.state.submissions;
  for (const auto& [rank, id] : state.queue) {
    const Submission& submission = *state.all.at(id);
    for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
      const StepState& step = submission.steps[i];
      const bool has_waiting =
          submission_runs::IsReady(submission, i) &&
          std::any_of(step.tasks.begin(), step.tasks.end(),
                      [](const RunState& task) {
                        return task.phase == RunPhase::kWaiting;
                      });
      if (has_waiting) {
        ++counts[step.wait_reason];
      }
    }
  }
  return counts;
}

/// Attributes the interval since the last update to the steps that wait.
void RecordWaits(Context& context) {
  std::string reasons;
  for (const auto& [reason, steps] : CountWaitingSteps(context)) {
    context.Count(Metric::kStepWaitTime, NameOf(reason),
                  std::chrono::duration<double>(kGaugeInterval).count() *
                      static_cast<double>(steps));
    reasons += fmt::format("{}{}={}", reasons.empty() ? "" : " ",
                           NameOf(reason), steps);
  }
  if (!reasons.empty()) {
    context.Log(LogLevel::kInfo, "load", "Steps wait for a place.",
                {{"epoch", StateOf(context).leadership.epoch.value},
                 {"steps", reasons}});
  }
}

void SetGauges(Context& context) {
  const SubmissionsState& state = StateOf(context);
  std::int64_t usable = 0;
  Resources free;
  for (const auto& [name, worker] : state.fleet.workers) {
    if (fleet::HasRoom(context, worker, Resources{})) {
      ++usable;
      free += worker.entry.capacity - worker.reserved;
    }
  }
  const auto set = [&context](Metric metric, auto value) {
    context.Emit(SetGauge{metric, static_cast<double>(value)});
  };
  set(Metric::kQueueLength, state.queue.size());
  set(Metric::kWorkersUsable, usable);
  set(Metric::kFreeCores, free.cpu_millicores / kMillicores);
  set(Metric::kOpenAdviceQueries, state.advice_queries.size());
  set(Metric::kOpenCalls, state.calls.size());
  set(Metric::kEventsWaiting, context.state.load.before.max_waiting);
  set(Metric::kIsLeading, leadership::IsLeading(context) ? 1 : 0);
  std::size_t long_running = 0;
  std::size_t at_work = 0;
  for (const auto& [id, submission] : state.all) {
    if (submission->spec && !HasEnded(submission->state)) {
      long_running::CountTasks(*submission, long_running, at_work);
    }
  }
  set(Metric::kLongRunningTasks, long_running);
  set(Metric::kLongRunningAtWork, at_work);
  quota::SetGauges(context);
  run_times::SetGauges(context);
  admission::OnSecond(context);
  takeover_wait::SetGauges(context);
  if (leadership::IsLeading(context)) {
    retained_specs::DropUnneeded(context);
    LogLoad(context, usable, free);
    RecordWaits(context);
  }
}

}  // namespace

void OnCall(Context& context, const ProcessId& from,
            const SubmissionCall& message) {
  if (!leadership::IsLeading(context)) {
    const bool is_taking_over = StateOf(context).leadership.holds_leadership;
    return Reply(context, from, message.call,
                 is_taking_over ? ErrorKind::kNotReady : ErrorKind::kNotOwner);
  }
  switch (message.operation) {
    case SubmissionOperation::kSubmit:
      return Submit(context, from, message);
    case SubmissionOperation::kStatus:
      return ReplyStatus(context, from, message);
    case SubmissionOperation::kCancel:
      return Cancel(context, from, message);
    case SubmissionOperation::kCountWaiting:
      return CountWaiting(context, from, message);
  }
}

void OnAccepted(Context& context, const SubmissionId& id) {
  Submission* submission = submission_progress::Find(context, id);
  if (submission == nullptr) {
    return;
  }
  submission->accepted = true;
  submission_progress::UpdateWaiting(context, *submission);
  context.Log(LogLevel::kInfo, kPart,
              "Accepted a submission; its record is stored.",
              {{"id", id.value},
               {"route", submission->route.value},
               {"steps", submission->steps.size()},
               {"beyond_share", submission->is_beyond_share},
               {"stored_after_ms", context.now - submission->arrived},
               {"epoch", StateOf(context).leadership.epoch.value},
               {"queue", StateOf(context).queue.size()}});
  context.Observe(Metric::kAcceptTime, context.now - submission->arrived);
  for (const auto& [to, call] : std::exchange(submission->submitters, {})) {
    Reply(context, to, call, ErrorKind::kNone);
  }
  submission_progress::Enqueue(context, *submission);
}

void OnNotAccepted(Context& context, const SubmissionId& id, ErrorKind kind) {
  const auto found = StateOf(context).all.find(id);
  if (found == StateOf(context).all.end()) {
    return;
  }
  const SubmissionPtr submission = found->second;
  fair_order::OnNotAccepted(context, *submission);
  step_order::Dequeue(context, *submission);
  gang_claims::ReleaseClaims(context, id);
  StateOf(context).all.erase(found);
  context.Log(LogLevel::kInfo, kPart,
              "Rejected a submission; its record was not stored.",
              {{"id", id.value}, {"reason", AnswerFor(kind).name}});
  for (const auto& [to, call] : submission->submitters) {
    Reply(context, to, call, kind);
  }
}

void OnChangeStored(Context& context, const SubmissionId& id,
                    SubmissionState state) {
  Submission* submission = submission_progress::Find(context, id);
  if (submission == nullptr || !HasEnded(state)) {
    return;
  }
  submission->is_stored = true;
  for (const auto& caller : std::exchange(submission->status_callers, {})) {
    ReplyState(context, *submission, caller);
  }
  const ErrorKind kind = CancelResult(*submission);
  for (const auto& [to, call] : std::exchange(submission->cancellers, {})) {
    Reply(context, to, call, kind);
  }
}

void OnTimer(Context& context) {
  SubmissionsState& state = StateOf(context);
  step_advice::OnTimer(context);
  leader_release::CheckStore(context);
  candidacy::CheckYield(context);
  if (context.now >= state.next_gauge_update) {
    state.next_gauge_update = context.now + kGaugeInterval;
    SetGauges(context);
  }
  for (const auto& [submission, caller] : status_wait::TakeOverdue(context)) {
    ReplyState(context, *submission, caller);
  }
  takeover_wait::OnWorkersChanged(context);
  if (!leadership::IsLeading(context) ||
      context.now < state.next_expiry_check) {
    return;
  }
  state.next_expiry_check = context.now + kExpiryInterval;
  const TimePoint before =
      context.now - context.state.settings.store.status_retention;
  std::vector<SubmissionId> expired;
  for (const auto& [id, submission] : state.all) {
    if (HasEnded(submission->state) && submission->is_stored &&
        submission->ended_at < before &&
        !retained_specs::IsRetained(context, id)) {
      expired.push_back(id);
    }
  }
  for (const SubmissionId& id : expired) {
    state.all.erase(id);
    work_log::Forget(context, id);
  }
}

}  // namespace basilspread::internal::service
