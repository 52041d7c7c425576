#include "quota/uncertain_usage.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "internal/submission_runs.h"
#include "quota/amounts.h"
#include "takeover_wait/inherited_work.h"

namespace basilspread::internal::uncertain_usage {
namespace {

/// How long a bound is used; each takes a walk over all submissions.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);

QuotaState& StateOf(Context& context) {
  return context.state.submissions.quota;
}

/// The largest capacity of a worker, for one whose entry is not known.
Resources LargestCapacity(const FleetState& fleet) {
  Resources largest;
  for (const auto& [name, worker] : fleet.workers) {
    largest = quota::Larger(largest, worker.entry.capacity);
  }
  return largest;
}

/// Capacity of the workers on which an earlier leader may have started tasks
/// that this one does not know of.
Resources UnknownCapacity(const FleetState& fleet) {
  Resources total;
  std::size_t undescribed = 0;
  for (const auto& [name, worker] : fleet.workers) {
    if (!worker.is_reconciled && !worker.has_known_runs) {
      total += worker.entry.capacity;
      undescribed += worker.entry.capacity == Resources{} ? 1 : 0;
    }
  }
  return undescribed == 0 ? total
                          : total + Times(LargestCapacity(fleet), undescribed);
}

/// What runs of unknown submissions can use at most: what their workers have
/// beside known runs.
Resources UnattributedCapacity(const FleetState& fleet) {
  Resources total;
  for (const HostName& name : fleet.with_unattributed) {
    const FleetWorker& worker = fleet.workers.at(name);
    const bool is_described = worker.entry.capacity != Resources{};
    total += is_described ? worker.entry.capacity - worker.reserved
                          : LargestCapacity(fleet);
  }
  return total;
}

/// Resources of the submission's tasks that are not known to run, and may.
/// Those of steps that need not wait for unanswered workers run on none of
/// them.
Resources UnknownDemand(const Context& context, const Submission& submission) {
  // The progress of an ended submission is not kept.
  const bool has_ended = HasEnded(submission.state);
  Resources demand;
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    const auto& tasks = submission.steps[i].tasks;
    const auto waiting = std::count_if(
        tasks.begin(), tasks.end(),
        [](const RunState& task) { return task.phase == RunPhase::kWaiting; });
    if ((has_ended || submission_runs::IsReady(submission, i)) &&
        !takeover_wait::MayStart(context, submission, i)) {
      demand += Times(submission.spec->steps[i].demand,
                      static_cast<std::size_t>(waiting));
    }
  }
  return demand;
}

void Update(Context& context) {
  QuotaState& state = StateOf(context);
  if (context.now < state.uncertain_at + kUpdateInterval) {
    return;
  }
  state.uncertain_at = context.now;
  state.uncertain.clear();
  const Resources capacity = UnknownCapacity(context.state.submissions.fleet);
  for (const auto& [id, submission] : context.state.submissions.all) {
    if (submission->inherited && submission->usage && submission->spec) {
      Resources& bound = state.uncertain[submission->usage->name];
      bound =
          quota::Smaller(bound + UnknownDemand(context, *submission), capacity);
    }
  }
}

}  // namespace

Resources Of(Context& context, const WorkspaceName& name) {
  Resources usage = UnattributedCapacity(context.state.submissions.fleet);
  if (takeover_wait::MayStartAll(context)) {
    return usage;
  }
  Update(context);
  const auto& uncertain = StateOf(context).uncertain;
  const auto found = uncertain.find(name);
  return found == uncertain.end() ? usage : usage + found->second;
}

}  // namespace basilspread::internal::uncertain_usage
