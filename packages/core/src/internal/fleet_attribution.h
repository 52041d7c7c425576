#ifndef BASILSPREAD_CORE_INTERNAL_FLEET_ATTRIBUTION_H_
#define BASILSPREAD_CORE_INTERNAL_FLEET_ATTRIBUTION_H_

#include <cstdint>

#include "basilspread/core/fleet.h"
#include "basilspread/core/fleet_call.h"
#include "internal/context.h"

/// Tells which incarnation of a worker has carried out a start. A worker that
/// restarts under its name numbers its ends and counts its time anew, and no
/// call names the incarnation that it is meant for. What belongs to the known
/// one is sent only while no start may be that of the next one.
namespace basilspread::internal::fleet::attribution {

bool HasUnacknowledgedEnds(const FleetWorker& worker);
/// Number of the last end that a poll may acknowledge now; zero for none.
std::uint64_t AcknowledgedEnd(const FleetWorker& worker);
/// Whether a poll may renew leases now.
bool MayRenew(const FleetWorker& worker);

/// To be called before a run is started on the worker.
void BeforeStart(const Context& context, FleetWorker& worker,
                 const RunName& name);
/// Handles that the worker has carried out a start.
void OnStartAnswered(const Context& context, FleetWorker& worker,
                     const RunOrdered& event);
void OnPollSent(FleetWorker& worker, const PollWorker& poll);
/// Handles a poll that the known incarnation has answered.
void OnPollAnswered(FleetWorker& worker, const WorkerPolled& event);
/// Handles a poll whose outcome is unknown.
void OnPollLost(FleetWorker& worker);
void OnFenceRaised(FleetWorker& worker);

}  // namespace basilspread::internal::fleet::attribution

#endif  // BASILSPREAD_CORE_INTERNAL_FLEET_ATTRIBUTION_H_
