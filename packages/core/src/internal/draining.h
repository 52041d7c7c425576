#ifndef BASILSPREAD_CORE_INTERNAL_DRAINING_H_
#define BASILSPREAD_CORE_INTERNAL_DRAINING_H_

#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::draining {

/// Adds the rows of `old` that `next` lacks to `next`, as draining.
void RetainRemovedRows(Context& context, const Tables& old, Tables& next);

/// Drops the draining rows that have no work left; true when any was dropped.
bool RemoveDrainedRows(Context& context);

}  // namespace basilspread::internal::draining

#endif  // BASILSPREAD_CORE_INTERNAL_DRAINING_H_
