#ifndef BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_
#define BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "basilspread/core/fleet.h"
#include "basilspread/core/fleet_call.h"
#include "internal/context.h"

/// Looks at workers: they renew the leases and bring the ends of runs.
namespace basilspread::internal::fleet::polls {

/// The fence that orders to the worker carry: the leader's epoch, and within
/// it a number that rises whenever an order's answer was lost.
std::uint64_t FenceOf(const Context& context, const FleetWorker& worker);
Epoch EpochOf(std::uint64_t fence);

/// Time after which a lease that is given now has surely ended.
Duration LongestLease(const Context& context);

/// How long the leases there may run from now on, on the worker's clock;
/// notes that they do. Zero while its clock is not known.
WorkerTime NextLease(Context& context, FleetWorker& worker);

/// Has the worker looked at from now on, since something runs there.
void Watch(Context& context, FleetWorker& worker);
/// Looks beside a look that may wait for an end.
void PollNow(Context& context, FleetWorker& worker);
void PollIfDue(Context& context, FleetWorker& worker);
/// Files the worker by when there is something to do for it. To be called
/// after each change of what that follows from: its next look and stops,
/// whether it is listed and known, its runs and its leases.
void File(Context& context, FleetWorker& worker);
/// Takes the workers out for which there is something to do now.
std::vector<HostName> TakeDue(Context& context);
void ArmTimer(Context& context);
void SetReconciled(Context& context, FleetWorker& worker, bool is_reconciled);
/// The worker has no ends any more that have to be stored.
void ForgetEnds(Context& context, FleetWorker& worker);

/// When nothing runs any longer on a worker that the store does not list;
/// unset for one that it lists.
std::optional<TimePoint> GoneAt(const Context& context,
                                const FleetWorker& worker);

/// Takes the list of a look in.
void Take(Context& context, FleetWorker& worker, const WorkerPolled& event);
void OnFailed(Context& context, FleetWorker& worker, const WorkerPolled& event);
/// Nothing that was started there runs any longer.
void LoseRuns(Context& context, FleetWorker& worker, std::string_view reason);

}  // namespace basilspread::internal::fleet::polls

#endif  // BASILSPREAD_CORE_INTERNAL_FLEET_POLLS_H_
