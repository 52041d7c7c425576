#include "status_wait/status_wait.h"

#include <algorithm>

#include "internal/submission_progress.h"

namespace basilspread::internal::status_wait {
namespace {

/// The wait is at most this part of the route's target latency, so that a
/// caller that asks again loses less than the time it is allowed.
constexpr int kTargetDivisor = 2;
/// Covers the way of an end from its worker through a relay and the leader to
/// the store.
constexpr Duration kMaxWait = std::chrono::milliseconds(150);
/// Bounds the memory of callers that ask for one submission at once.
constexpr std::size_t kMaxCallers = 16;

/// Whether each task has succeeded or runs, so that the next end may be the
/// last one.
bool MayEndSoon(const Submission& submission) {
  return std::all_of(
      submission.spec->steps.begin(), submission.spec->steps.end(),
      [&submission](const StepSpec& spec) {
        const std::size_t index =
            static_cast<std::size_t>(&spec - submission.spec->steps.data());
        const auto& tasks = submission.steps[index].tasks;
        return !spec.long_running &&
               std::all_of(tasks.begin(), tasks.end(),
                           [](const RunState& task) {
                             return task.phase == RunPhase::kRunning ||
                                    task.phase == RunPhase::kSucceeded;
                           });
      });
}

/// Whether the submission has ended and its end is not stored yet.
bool IsEndInFlight(const Submission& submission) {
  return HasEnded(submission.state) && !submission.is_stored;
}

}  // namespace

bool Hold(Context& context, Submission& submission, const Caller& caller) {
  const Duration wait =
      std::min(submission.policy.target_latency / kTargetDivisor, kMaxWait);
  if (!submission.spec || wait <= Duration::zero() ||
      submission.status_callers.size() >= kMaxCallers ||
      !(IsEndInFlight(submission) ||
        (!HasEnded(submission.state) && MayEndSoon(submission)))) {
    return false;
  }
  submission.status_callers.push_back(caller);
  context.state.submissions.status_waits.emplace(context.now + wait,
                                                 submission.id);
  return true;
}

std::vector<OverdueCaller> TakeOverdue(Context& context) {
  auto& waits = context.state.submissions.status_waits;
  std::vector<OverdueCaller> overdue;
  while (!waits.empty() && waits.begin()->first <= context.now) {
    Submission* submission =
        submission_progress::Find(context, waits.begin()->second);
    waits.erase(waits.begin());
    if (submission != nullptr && !submission->status_callers.empty()) {
      // Callers wait equally long, so that the first one is the overdue one.
      overdue.push_back({submission, submission->status_callers.front()});
      submission->status_callers.erase(submission->status_callers.begin());
    }
  }
  return overdue;
}

}  // namespace basilspread::internal::status_wait
