#ifndef BASILSPREAD_CORE_QUOTA_WAITING_GANGS_H_
#define BASILSPREAD_CORE_QUOTA_WAITING_GANGS_H_

#include "basilspread/core/queue_tables.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Gangs that wait for the quota of their workspace. Smaller work would take
/// what they wait for again and again, so that later work gives way to them, as
/// long as they can still start.
namespace basilspread::internal::waiting_gangs {

/// Whether the quota can hold all members of the gang at once, beside the
/// workspace's long-running tasks.
bool CanHold(const Workspace& row, const Submission& submission,
             std::uint32_t step);

/// Has later work give way to the gang, unless the pool has too few workers for
/// it.
void Add(Context& context, const step_offers::PendingStep& gang);
/// The gang got the quota, or cannot get it.
void Remove(const Submission& submission);

/// Whether the submission leaves the quota to an earlier gang.
bool MustYield(Context& context, const Workspace& row,
               const Submission& submission);

}  // namespace basilspread::internal::waiting_gangs

#endif  // BASILSPREAD_CORE_QUOTA_WAITING_GANGS_H_
