#include "internal/step_order.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "admission/queue_ahead.h"
#include "basilspread/core/limits.h"
#include "internal/long_running.h"
#include "run_times/run_times.h"

namespace basilspread::internal::step_order {
namespace {

/// Ranks change only by whole tiers, and targets are at least about a second.
constexpr Duration kRankingInterval = std::chrono::milliseconds(100);
/// Covers the interval of ranking and the start itself. Without it, a queue
/// under twice the load that the workers can take starts most submissions just
/// after their latest start.
constexpr Duration kStartMargin = std::chrono::milliseconds(150);
/// The result of a submission that takes longer than this many times its
/// allowed time is of no use to its caller.
constexpr int kTooLateFactor = 3;

/// The step's estimate, which is kept with it while the queue is ordered by it.
StepEstimate EstimateOf(const Context& context, const Submission& submission,
                        std::uint32_t step) {
  const std::optional<StepEstimate>& kept = submission.steps[step].estimate;
  return kept ? *kept : run_times::Estimate(context, submission, step);
}

struct CriticalPath {
  /// Run time of the longest chain of steps, by a task of each.
  Duration whole{};
  /// Time until the end of the steps that have not succeeded. A step ends with
  /// its slowest task. That the slowest task also counted in `whole` served
  /// fewer callers in overload where `stretch` is 1; see
  /// docs/design/run-times.md.
  Duration left{};
};

CriticalPath FindCriticalPath(const Context& context,
                              const Submission& submission) {
  const auto& steps = submission.spec->steps;
  std::vector<CriticalPath> ends(steps.size());
  CriticalPath longest;
  for (std::uint32_t i = 0; i < steps.size(); ++i) {
    CriticalPath begin;
    for (const std::uint32_t earlier : steps[i].after) {
      begin.whole = std::max(begin.whole, ends[earlier].whole);
      begin.left = std::max(begin.left, ends[earlier].left);
    }
    const StepState& state = submission.steps[i];
    const bool has_succeeded = state.succeeded == state.tasks.size();
    const StepEstimate estimate = EstimateOf(context, submission, i);
    ends[i] = {
        begin.whole + estimate.task,
        begin.left + (has_succeeded ? Duration::zero() : estimate.longest)};
    longest.whole = std::max(longest.whole, ends[i].whole);
    longest.left = std::max(longest.left, ends[i].left);
  }
  // limits::kMaxStretch times this still fits into a Duration.
  constexpr Duration kMaxPath = limits::kMaxExpectedWork * 8;
  longest.whole = std::min(longest.whole, kMaxPath);
  longest.left = std::min(longest.left, kMaxPath);
  return longest;
}

/// How long before its latest start a submission ceases to be on time. Under
/// scarcity the most urgent one is always close to it.
Duration StartMargin(const Submission& submission, TimePoint latest_start) {
  constexpr int kSlackPart = 4;
  return std::min(kStartMargin,
                  (latest_start - submission.arrived) / kSlackPart);
}

void RemoveFromQueue(Context& context, Submission& submission) {
  const auto rank = std::exchange(submission.queue_rank, std::nullopt);
  if (rank) {
    context.state.submissions.queue.erase({*rank, submission.id});
  }
}

}  // namespace

StartBounds BoundsOf(const Context& context, const Submission& submission) {
  const CriticalPath path = FindCriticalPath(context, submission);
  const auto allowed = submission.policy.target_latency +
                       std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(path.whole) *
                           std::max(1.0, submission.policy.stretch));
  return {submission.arrived + allowed - path.left,
          submission.arrived + allowed * kTooLateFactor - path.left};
}

QueueRank RankOf(const Context& context, const Submission& submission) {
  const QueueTier best_tier =
      submission.is_beyond_share ? QueueTier::kBeyondShare : QueueTier::kOnTime;
  if (long_running::HasLongRunning(submission)) {
    // A long-running task serves users whenever it is at work, so that its
    // start is always due and precedes that of work which can still wait.
    return {best_tier, submission.arrived};
  }
  const StartBounds bounds = BoundsOf(context, submission);
  if (context.now > bounds.useful) {
    return {QueueTier::kTooLate, bounds.on_time};
  }
  const QueueTier tier =
      context.now + StartMargin(submission, bounds.on_time) <= bounds.on_time
          ? QueueTier::kOnTime
          : QueueTier::kLate;
  return {std::max(tier, best_tier), bounds.on_time};
}

void RefreshQueue(Context& context) {
  if (context.now < context.state.submissions.next_ranking) {
    return;
  }
  context.state.submissions.next_ranking = context.now + kRankingInterval;
  std::vector<SubmissionPtr> outdated;
  for (const auto& [rank, id] : context.state.submissions.queue) {
    if (rank.tier == QueueTier::kOnTime &&
        rank.latest_start >= context.now + kStartMargin) {
      continue;
    }
    outdated.push_back(context.state.submissions.all.at(id));
  }
  for (const SubmissionPtr& submission : outdated) {
    Enqueue(context, *submission);
  }
}

void Enqueue(Context& context, Submission& submission) {
  run_times::Refresh(context, submission);
  const QueueRank rank = RankOf(context, submission);
  if (submission.queue_rank == rank) {
    return;
  }
  RemoveFromQueue(context, submission);
  submission.queue_rank = rank;
  context.state.submissions.queue.emplace(rank, submission.id);
  queue_ahead::OnRanked(context, submission);
}

void Dequeue(Context& context, Submission& submission) {
  RemoveFromQueue(context, submission);
  queue_ahead::Remove(context, submission);
}

}  // namespace basilspread::internal::step_order
