#ifndef BASILSPREAD_CORE_INTERNAL_OUTDATED_ANSWERS_H_
#define BASILSPREAD_CORE_INTERNAL_OUTDATED_ANSWERS_H_

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/store_call.h"
#include "internal/context.h"

namespace basilspread::internal::outdated_answers {

/// Whether the answer is to a call of an earlier takeover. If so, it is logged
/// and counted.
bool IsOutdated(Context& context, const WorkListed& event);
bool IsOutdated(Context& context, const FleetRead& event);
bool IsOutdated(Context& context, const WorkerPolled& event);
bool IsOutdated(Context& context, const RunOrdered& event);

}  // namespace basilspread::internal::outdated_answers

#endif  // BASILSPREAD_CORE_INTERNAL_OUTDATED_ANSWERS_H_
