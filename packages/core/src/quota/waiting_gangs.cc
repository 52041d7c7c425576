#include "quota/waiting_gangs.h"

#include <cstddef>

#include "internal/submission_progress.h"
#include "internal/submission_runs.h"
#include "quota/amounts.h"

namespace basilspread::internal::waiting_gangs {
namespace {

/// After this, a gang goes before later work of its workspace.
constexpr Duration kPatience = std::chrono::seconds(5);
/// Gangs on time that are passed over in the search for a late one.
constexpr int kMaxOnTimeVisited = 4;

/// Whether a gang of the submission waits that the quota in force can hold.
/// Tables change while it waits, and what cannot start must hold up nothing.
bool HasWaitingGang(const Workspace& row, const Submission& submission) {
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    const StepState& step = submission.steps[i];
    if (submission.spec->steps[i].gang && !step.gang_started_at &&
        step.succeeded < step.tasks.size() &&
        submission_runs::IsReady(submission, i) &&
        CanHold(row, submission, i)) {
      return true;
    }
  }
  return false;
}

}  // namespace

bool CanHold(const Workspace& row, const Submission& submission,
             std::uint32_t step) {
  const StepState& state = submission.steps[step];
  const std::size_t members = state.tasks.size() - state.succeeded;
  return quota::CountStartable(row.quota, submission.usage->long_running,
                               submission.spec->steps[step].demand) >=
         static_cast<std::int64_t>(members);
}

void Add(Context& context, const step_offers::PendingStep& gang) {
  if (step_offers::FitsPool(context, gang)) {
    gang.submission.usage->waiting_gangs.emplace(gang.submission.arrived,
                                                 gang.submission.id);
  } else {
    Remove(gang.submission);
  }
}

void Remove(const Submission& submission) {
  submission.usage->waiting_gangs.erase({submission.arrived, submission.id});
}

bool MustYield(Context& context, const Workspace& row,
               const Submission& submission) {
  auto& gangs = submission.usage->waiting_gangs;
  int on_time = 0;
  auto entry = gangs.begin();
  while (entry != gangs.end() && entry->first < submission.arrived &&
         context.now >= entry->first + kPatience &&
         on_time < kMaxOnTimeVisited) {
    const Submission* other = submission_progress::Find(context, entry->second);
    const bool is_waiting = other != nullptr && other->queue_rank &&
                            other->spec && HasWaitingGang(row, *other);
    if (!is_waiting) {
      entry = gangs.erase(entry);
      continue;
    }
    if (other->queue_rank->tier != QueueTier::kOnTime) {
      return true;
    }
    ++on_time;
    ++entry;
  }
  return false;
}

}  // namespace basilspread::internal::waiting_gangs
