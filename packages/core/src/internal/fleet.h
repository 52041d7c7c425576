#ifndef BASILSPREAD_CORE_INTERNAL_FLEET_H_
#define BASILSPREAD_CORE_INTERNAL_FLEET_H_

#include <set>

#include "basilspread/core/fleet.h"
#include "basilspread/core/fleet_call.h"
#include "basilspread/core/store_call.h"
#include "internal/context.h"

/// The leader's view of the workers: their runs and the leases of these.
namespace basilspread::internal::fleet {

/// Starts a term of leadership: reads the store's worker list and polls the
/// workers that earlier leaders recorded.
void Start(Context& context);
/// The work log has stored records of these workers as they are now.
void OnRecorded(Context& context, const std::set<HostName>& names);
void OnRead(Context& context, const FleetRead& event);
void OnRetryTimer(Context& context);
void OnFollowTimer(Context& context);
void OnTimer(Context& context);
void OnPolled(Context& context, const WorkerPolled& event);
void OnOrdered(Context& context, const RunOrdered& event);
/// A poll was lost together with the process that made it, or was not sent.
void OnRelayLostPoll(Context& context, const WorkerPolled& event);

bool IsListed(const Context& context);

FleetWorker* Find(Context& context, const HostName& name);
/// Whether nothing is started on the worker until it answers, is listed and
/// does not drain.
bool IsClosed(const FleetWorker& worker);
/// Has the work log record that the worker is closed, or no longer closed. A
/// takeover while a closed worker does not answer then waits only for what the
/// record lists.
void UpdateClosure(Context& context, FleetWorker& worker);
/// Whether tasks may be started there, apart from free capacity.
bool IsUsable(const Context& context, const FleetWorker& worker);
/// Whether a task of this demand may be started there now.
bool HasRoom(const Context& context, const FleetWorker& worker,
             const Resources& demand);

struct RunOrder {
  RunName name;
  SubmissionSpecPtr spec;
  RunReservation reservation;
  std::string checkpoint;
  std::string ticket;
};

void StartRunOn(Context& context, FleetWorker& worker, RunOrder order);
void StopRunOn(Context& context, FleetWorker& worker, const RunName& name);
/// Accounts for a run that an earlier leader started.
void Adopt(Context& context, FleetWorker& worker, const RunName& name,
           RunReservation reservation);
/// Accounts for a run that is not to go on. Nothing is started on the worker
/// until it has ended.
void AdoptOrphan(Context& context, FleetWorker& worker, const RunName& name,
                 RunReservation reservation);
/// Stops such a run.
void StopOrphan(Context& context, FleetWorker& worker, const RunName& name,
                RunReservation reservation);
/// Frees the capacity that the run occupied.
void Release(Context& context, FleetWorker& worker, const RunName& name);

}  // namespace basilspread::internal::fleet

#endif  // BASILSPREAD_CORE_INTERNAL_FLEET_H_
