#ifndef BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_
#define BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "basilspread/core/fleet.h"
#include "basilspread/core/fleet_call.h"
#include "internal/context.h"

/// Polls of workers, which renew leases and deliver the ends of runs.
namespace basilspread::internal::fleet::polls {

/// The steady clock of a worker may be slow by the inverse of this.
inline constexpr std::int64_t kClockDriftDivisor = 50;

/// The fencing token of calls to the worker: the leader's epoch, and within it
/// a number that rises whenever the answer to a start was lost.
std::uint64_t FenceOf(const Context& context, const FleetWorker& worker);
Epoch EpochOf(std::uint64_t fence);
/// Calls under the fences so far have no effect on a worker that was called
/// under the new one.
void RaiseFence(FleetWorker& worker);
/// Whether the epoch has hardly any fences left for the worker.
bool AreFencesUsedUp(const FleetWorker& worker);

/// Time after which a lease granted now has surely ended, including the drift
/// of the worker's clock and the time to kill a run.
Duration LongestLease(const Context& context);

/// End of a lease granted now, on the worker's clock; counted from the latest
/// proof of the leadership. Also advances FleetWorker::leased_until. Zero while
/// the worker's clock is not known or the proof is too old.
WorkerTime NextLease(Context& context, FleetWorker& worker);

/// Schedules a poll at once unless one is in flight; called when a run is
/// added.
void StartPolling(Context& context, FleetWorker& worker);
/// Polls without waiting for an end, even while a long poll is in flight.
void PollNow(Context& context, FleetWorker& worker);
void PollIfDue(Context& context, FleetWorker& worker);
/// Updates the worker's entry in FleetState::due. To be called after a change
/// of anything that determines it: the next poll or repeated stop, whether the
/// worker is listed and reconciled, its runs and its leases.
void UpdateDueTime(Context& context, FleetWorker& worker);
/// Removes the entries of FleetState::due that are due now; returns the
/// workers.
std::vector<HostName> TakeDue(Context& context);
void ArmTimer(Context& context);
void SetReconciled(Context& context, FleetWorker& worker, bool is_reconciled);
/// Discards the numbers of the worker's ends, for example after its restart.
void ForgetEnds(Context& context, FleetWorker& worker);

/// When a worker that the store no longer lists can be forgotten, since nothing
/// runs there any more; unset for a listed worker.
std::optional<TimePoint> RemovalTime(const Context& context,
                                     const FleetWorker& worker);

/// Applies the answer to a poll.
void ApplyPoll(Context& context, FleetWorker& worker,
               const WorkerPolled& event);
void OnPollFailed(Context& context, FleetWorker& worker,
                  const WorkerPolled& event);
/// Reports all runs of the worker as lost.
void LoseRuns(Context& context, FleetWorker& worker, std::string_view reason);

}  // namespace basilspread::internal::fleet::polls

#endif  // BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_
