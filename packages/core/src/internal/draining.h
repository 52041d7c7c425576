#ifndef BASILSPREAD_CORE_INTERNAL_DRAINING_H_
#define BASILSPREAD_CORE_INTERNAL_DRAINING_H_

#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::draining {

/// Copies routes and pools that `next` lacks from `old` to `next`, marked as
/// draining, so that work in progress can finish.
void RetainRemovedRows(Context& context, const Tables& old, Tables& next);

/// Removes the draining rows that have no work left from the tables; returns
/// true if there was any.
bool RemoveDrainedRows(Context& context);

}  // namespace basilspread::internal::draining

#endif  // BASILSPREAD_CORE_INTERNAL_DRAINING_H_
