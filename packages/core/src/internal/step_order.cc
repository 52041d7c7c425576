#include "internal/step_order.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilspread::internal::step_order {
namespace {

/// Weight of the newest run in the mean of its kind: some twenty runs count.
constexpr double kNewestWeight = 0.05;
/// A single run tells no more than this factor either way; runs have long
/// tails.
constexpr double kMostRatio = 8;
/// Ranks change by whole tiers only, and targets are of a second and more.
constexpr Duration kRankingInterval = std::chrono::milliseconds(100);
/// A submission that takes longer than this many times its allowed time is of
/// no use to its caller any more.
constexpr int kUselessFactor = 3;

/// A likely length of the longest chain of steps; of those that have not
/// succeeded with `open_only`.
Duration LongestChain(const Context& context, const Submission& submission,
                      bool open_only) {
  const auto& steps = submission.spec->steps;
  std::vector<Duration> ends(steps.size());
  Duration longest{};
  for (std::uint32_t i = 0; i < steps.size(); ++i) {
    Duration begin{};
    for (const std::uint32_t earlier : steps[i].after) {
      begin = std::max(begin, ends[earlier]);
    }
    const StepState& state = submission.steps[i];
    const bool is_over = state.succeeded == state.tasks.size();
    ends[i] = begin;
    if (!open_only || !is_over) {
      ends[i] += LikelyRunTime(context, submission, i);
    }
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace

Duration LikelyRunTime(const Context& context, const Submission& submission,
                       std::uint32_t step) {
  const StepSpec& spec = submission.spec->steps[step];
  const auto& known = context.state.submissions.run_times;
  const auto found = known.find({submission.route, spec.image});
  const double ratio = found == known.end() ? 1.0 : found->second.ratio;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(spec.expected_run_time) * ratio);
}

void LearnRunTime(Context& context, const Submission& submission,
                  std::uint32_t step, Duration run_time) {
  const StepSpec& spec = submission.spec->steps[step];
  if (spec.expected_run_time <= Duration::zero()) {
    return;
  }
  const double ratio = std::chrono::duration<double>(run_time) /
                       std::chrono::duration<double>(spec.expected_run_time);
  RunTimeStatistics& known =
      context.state.submissions.run_times[{submission.route, spec.image}];
  known.ratio += (std::clamp(ratio, 1 / kMostRatio, kMostRatio) - known.ratio) *
                 kNewestWeight;
  ++known.samples;
}

QueueRank RankOf(const Context& context, const Submission& submission) {
  const Duration chain = LongestChain(context, submission, false);
  const auto allowed = submission.policy.target_latency +
                       std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(chain) *
                           std::max(1.0, submission.policy.stretch));
  const Duration left = LongestChain(context, submission, true);
  const TimePoint latest_start = submission.arrived + allowed - left;
  const TimePoint last_useful =
      submission.arrived + allowed * kUselessFactor - left;
  if (context.now <= latest_start) {
    return {QueueTier::kOnTime, latest_start};
  }
  if (context.now <= last_useful) {
    return {QueueTier::kLate, latest_start};
  }
  return {QueueTier::kTooLate, latest_start};
}

void RefreshQueue(Context& context) {
  if (context.now < context.state.submissions.next_ranking) {
    return;
  }
  context.state.submissions.next_ranking = context.now + kRankingInterval;
  std::vector<SubmissionPtr> passed;
  for (const auto& [rank, id] : context.state.submissions.queue) {
    if (rank.tier == QueueTier::kOnTime && rank.latest_start >= context.now) {
      continue;
    }
    passed.push_back(context.state.submissions.all.at(id));
  }
  for (const SubmissionPtr& submission : passed) {
    Enqueue(context, *submission);
  }
}

void Enqueue(Context& context, Submission& submission) {
  const QueueRank rank = RankOf(context, submission);
  if (submission.queue_rank == rank) {
    return;
  }
  Dequeue(context, submission);
  submission.queue_rank = rank;
  context.state.submissions.queue.emplace(rank, submission.id);
}

void Dequeue(Context& context, Submission& submission) {
  const auto rank = std::exchange(submission.queue_rank, std::nullopt);
  if (rank) {
    context.state.submissions.queue.erase({*rank, submission.id});
  }
}

}  // namespace basilspread::internal::step_order
