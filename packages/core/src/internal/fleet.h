#ifndef BASILSPREAD_CORE_INTERNAL_FLEET_H_
#define BASILSPREAD_CORE_INTERNAL_FLEET_H_

#include <cstddef>
#include <set>

#include "basilspread/core/fleet.h"
#include "basilspread/core/fleet_call.h"
#include "basilspread/core/store_call.h"
#include "internal/context.h"

/// The leader's view of the workers: what runs there, and under which lease.
namespace basilspread::internal::fleet {

/// Reads the list of workers, and looks at those of earlier leaders.
void Start(Context& context);
/// The work log names these workers as they are now.
void OnRecorded(Context& context, const std::set<HostName>& names);
void OnRead(Context& context, const FleetRead& event);
void OnRetryTimer(Context& context);
void OnFollowTimer(Context& context);
void OnTimer(Context& context);
void OnPolled(Context& context, const WorkerPolled& event);
void OnOrdered(Context& context, const RunOrdered& event);
/// The process that made the look is lost, or the look did not leave.
void OnHandLostPoll(Context& context, const WorkerPolled& event);

bool IsListed(const Context& context);
/// Workers that have not answered a look under the present epoch.
std::size_t CountUnreconciled(const Context& context);
/// Keeps inherited tasks waiting until all that an earlier leader may have
/// started on workers that do not answer has surely ended.
void HoldInherited(Context& context);
bool MayStartInherited(const Context& context);

FleetWorker* Find(Context& context, const HostName& name);
/// Whether tasks may be started there, for all but their room.
bool IsUsable(const Context& context, const FleetWorker& worker);
/// Whether a task of this demand may be started there now.
bool HasRoom(const Context& context, const FleetWorker& worker,
             const Resources& demand);

struct RunOrder {
  RunName name;
  SubmissionSpecPtr spec;
  Resources demand;
  std::string checkpoint;
  std::string ticket;
};

void StartRunOn(Context& context, FleetWorker& worker, RunOrder order);
void StopRunOn(Context& context, FleetWorker& worker, const RunName& name);
/// Takes over a run that an earlier leader started.
void Adopt(Context& context, FleetWorker& worker, const RunName& name,
           const Resources& demand);
/// Stops a run that should not be there. Until it has ended, nothing is
/// started beside it, since its size may be unknown.
void StopOrphan(Context& context, FleetWorker& worker, const RunName& name);
/// The run no longer occupies room.
void Release(Context& context, FleetWorker& worker, const RunName& name);

}  // namespace basilspread::internal::fleet

#endif  // BASILSPREAD_CORE_INTERNAL_FLEET_H_
