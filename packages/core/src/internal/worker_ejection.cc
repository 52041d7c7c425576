#include "internal/worker_ejection.h"

#include <algorithm>
#include <string_view>

namespace basilspread::internal::worker_ejection {
namespace {

constexpr std::string_view kPart = "fleet";
/// Number of different submissions with consecutive failures. A single one may
/// fail on every worker; a second one points to the worker.
constexpr std::size_t kFailuresToEject = 2;
/// Consecutive refused starts.
constexpr std::uint32_t kRefusalsToEject = 4;
/// Duration of the first ejection, which doubles with each further one. A
/// worker that hangs or fails seldom recovers sooner.
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 3;
/// Maximum share of ejected workers, in percent. If more fail, the cause is
/// more likely elsewhere.
constexpr std::size_t kMaxEjectedPercent = 34;
constexpr std::size_t kPercent = 100;

bool MayEject(const Context& context) {
  const auto& workers = context.state.submissions.fleet.workers;
  const auto ejected = static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(), [&context](const auto& entry) {
        return entry.second.ejected_until > context.now;
      }));
  return (ejected + 1) * kPercent <= workers.size() * kMaxEjectedPercent;
}

void Eject(Context& context, FleetWorker& worker, std::string_view reason) {
  if (worker.ejected_until > context.now || !MayEject(context)) {
    return;
  }
  const Duration time =
      kFirstEjection * (1U << std::min(worker.ejections, kMaxDoublings));
  ++worker.ejections;
  worker.ejected_until = context.now + time;
  worker.on_probation = true;
  context.Count(Metric::kWorkersAvoided, reason);
  context.Log(LogLevel::kInfo, kPart,
              "Worker is ejected; it gets no runs for a while.",
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
  if (worker.on_probation || worker.failed_for.size() >= kFailuresToEject) {
    Eject(context, worker, "its runs fail");
  }
}

void OnStartRefused(Context& context, FleetWorker& worker) {
  ++worker.refusals;
  if (worker.on_probation || worker.refusals >= kRefusalsToEject) {
    Eject(context, worker, "it refuses starts");
  }
}

void OnStuck(Context& context, FleetWorker& worker) {
  Eject(context, worker, "its runs stand still");
}

bool AllowsStart(const Context& context, const FleetWorker& worker) {
  return worker.ejected_until <= context.now &&
         (!worker.on_probation || worker.runs.empty());
}

}  // namespace basilspread::internal::worker_ejection
