#ifndef BASILSPREAD_CORE_ATTEMPTS_BUDGET_H_
#define BASILSPREAD_CORE_ATTEMPTS_BUDGET_H_

#include <cstdint>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Limits the starts of a task by the runs that have failed or may have.
namespace basilspread::internal::attempts {

/// Whether the failed runs of the task, and those whose outcome is unknown, use
/// up its attempts. The members of a gang share theirs.
bool IsUsedUp(const Submission& submission, std::uint32_t step,
              std::uint32_t index);

/// Counts the run as an attempt until its outcome is known. It no longer
/// occupies its task. Without effect for long-running tasks, which have no
/// limit.
void AwaitOutcome(Context& context, Submission& submission,
                  const HostName& worker, const RunName& name);

/// Likewise for a run that is over. It stays on its worker, without a
/// reservation, so that the worker's list or the end of its leases resolves it,
/// and so that the work log names it.
void AwaitOutcomeOfEnded(Context& context, Submission& submission,
                         FleetWorker& worker, const RunName& name);

/// The outcome of the run is known, or its leases have lapsed. Returns whether
/// it was awaited.
bool Resolve(Submission& submission, const HostName& worker,
             const RunName& name);

}  // namespace basilspread::internal::attempts

#endif  // BASILSPREAD_CORE_ATTEMPTS_BUDGET_H_
