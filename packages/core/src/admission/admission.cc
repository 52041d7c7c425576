#include "admission/admission.h"

#include <algorithm>
#include <utility>

#include "admission/queue_ahead.h"
#include "internal/long_running.h"
#include "internal/step_offers.h"
#include "internal/step_order.h"
#include "internal/submission_runs.h"

namespace basilspread::internal::admission {
namespace {

constexpr std::string_view kPart = "admission";
/// Share of the estimated wait that is taken for sure. Learned run times of a
/// route vary by about a tenth, and a needless rejection loses a request.
constexpr double kSureShare = 0.8;
/// Callers give up after some seconds, so that a longer delay loses them.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(4);
/// Callers see whole seconds; a shorter delay would not spread them.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

/// Lower bound of the wait. A submission that cannot start on time waits for
/// late work too.
std::optional<Duration> SureWait(const Context& context,
                                 const Submission& submission,
                                 const step_order::StartBounds& bounds) {
  const PoolName& pool = submission.policy.pool;
  QueueRank rank = step_order::RankOf(context, submission);
  auto wait = queue_ahead::WaitBefore(context, pool, rank);
  if (wait && rank.tier == QueueTier::kOnTime &&
      context.now + *wait > bounds.on_time) {
    rank.tier = QueueTier::kLate;
    wait = queue_ahead::WaitBefore(context, pool, rank);
  }
  if (!wait) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(*wait) * kSureShare);
}

/// Whether workers have room for all tasks that are ready.
bool HasRoomNow(Context& context, Submission& submission) {
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    if (!submission_runs::IsReady(submission, i)) {
      continue;
    }
    const auto pending =
        step_offers::MakePendingStep(submission, i, context.now);
    std::size_t room = 0;
    step_offers::VisitRoom(context, pending,
                           [&](const step_offers::Offer& offer) {
                             room += offer.room;
                             return room < pending.waiting.size();
                           });
    if (room < pending.waiting.size()) {
      return false;
    }
  }
  return true;
}

/// Spreads callers over the time in which the queue drains by `excess`.
Duration RetryAfter(Context& context, Duration excess) {
  const Duration delay = std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
  const auto spread = static_cast<std::int64_t>(context.state.random.NextBelow(
      static_cast<std::uint64_t>(delay.count())));
  return delay / 2 + Duration(spread);
}

void RecordRejection(Context& context, const Submission& submission,
                     Duration wait) {
  AdmissionState& state = context.state.submissions.admission;
  ++state.rejected;
  state.rejected_beyond_share += submission.is_beyond_share ? 1 : 0;
  context.Count(Metric::kQueueRejections,
                submission.is_beyond_share ? "beyond-share" : "worthless");
  context.Log(LogLevel::kDebug, kPart,
              "Rejected a submission for the length of the queue.",
              {{"id", submission.id.value},
               {"route", submission.route.value},
               {"workspace", submission.spec->workspace.value},
               {"beyond_share", submission.is_beyond_share},
               {"wait_ms", wait}});
}

}  // namespace

bool IsEnabled(const Context& context) {
  const auto& tables = context.state.submissions.tables.tables;
  return context.state.settings.admission.by_queue ||
         (tables && tables->workspaces);
}

std::optional<Duration> RejectFor(Context& context, Submission& submission) {
  if (!IsEnabled(context) || long_running::HasLongRunning(submission)) {
    return std::nullopt;
  }
  const auto bounds = step_order::BoundsOf(context, submission);
  const auto wait = SureWait(context, submission, bounds);
  const TimePoint limit =
      submission.is_beyond_share ? bounds.on_time : bounds.useful;
  if (!wait || context.now + *wait <= limit ||
      HasRoomNow(context, submission)) {
    return std::nullopt;
  }
  RecordRejection(context, submission, *wait);
  return RetryAfter(context, context.now + *wait - limit);
}

void OnSecond(Context& context) {
  queue_ahead::UpdateCapacity(context);
  queue_ahead::SetGauges(context);
  AdmissionState& state = context.state.submissions.admission;
  const std::uint32_t rejected = std::exchange(state.rejected, 0);
  const std::uint32_t beyond = std::exchange(state.rejected_beyond_share, 0);
  if (rejected > 0) {
    context.Log(LogLevel::kInfo, kPart,
                "Rejected submissions for the length of the queue in the last "
                "second.",
                {{"epoch", context.state.submissions.leadership.epoch.value},
                 {"rejected", rejected},
                 {"beyond_share", beyond},
                 {"queue", context.state.submissions.queue.size()}});
  }
}

}  // namespace basilspread::internal::admission
