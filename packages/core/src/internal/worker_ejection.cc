#include "internal/worker_ejection.h"

#include <algorithm>
#include <string_view>

namespace basilspread::internal::worker_ejection {
namespace {

constexpr std::string_view kPart = "fleet";
/// Submissions whose runs failed there one after another. One that always
/// fails does so everywhere, so that a second one tells of the worker.
constexpr std::size_t kFailuresToAvoid = 2;
/// Starts that were refused one after another.
constexpr std::uint32_t kRefusalsToAvoid = 4;
/// Doubles with each time; a worker that hangs or fails is seldom well again
/// sooner.
constexpr Duration kFirstAvoidance = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 3;
/// Share of the workers that may be left out at once, in percent: with more,
/// the fault is more likely elsewhere.
constexpr std::size_t kMaxAvoidedPercent = 34;
constexpr std::size_t kPercent = 100;

bool MayAvoid(const Context& context) {
  const auto& workers = context.state.submissions.fleet.workers;
  const auto avoided = static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(), [&context](const auto& entry) {
        return entry.second.ejected_until > context.now;
      }));
  return (avoided + 1) * kPercent <= workers.size() * kMaxAvoidedPercent;
}

void Avoid(Context& context, FleetWorker& worker, std::string_view reason) {
  if (worker.ejected_until > context.now || !MayAvoid(context)) {
    return;
  }
  const Duration time =
      kFirstAvoidance * (1U << std::min(worker.ejections, kMaxDoublings));
  ++worker.ejections;
  worker.ejected_until = context.now + time;
  worker.on_probation = true;
  context.Count(Metric::kWorkersAvoided, reason);
  context.Log(LogLevel::kInfo, kPart, "A worker is avoided.",
              {{"worker", worker.entry.name.value},
               {"reason", reason},
               {"times", worker.ejections},
               {"for_ms", time}});
}

}  // namespace

void OnSuccess(FleetWorker& worker) {
  worker.failed_for.clear();
  worker.refusals = 0;
  worker.ejections = 0;
  worker.on_probation = false;
}

void OnFailure(Context& context, FleetWorker& worker,
               const SubmissionId& submission) {
  worker.failed_for.insert(submission);
  if (worker.on_probation || worker.failed_for.size() >= kFailuresToAvoid) {
    Avoid(context, worker, "its runs fail");
  }
}

void OnStartRefused(Context& context, FleetWorker& worker) {
  ++worker.refusals;
  if (worker.on_probation || worker.refusals >= kRefusalsToAvoid) {
    Avoid(context, worker, "it refuses starts");
  }
}

void OnStuck(Context& context, FleetWorker& worker) {
  Avoid(context, worker, "its runs stand still");
}

bool AllowsStart(const Context& context, const FleetWorker& worker) {
  return worker.ejected_until <= context.now &&
         (!worker.on_probation || worker.runs.empty());
}

}  // namespace basilspread::internal::worker_ejection
