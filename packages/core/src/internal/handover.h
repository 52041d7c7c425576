#ifndef BASILSPREAD_CORE_INTERNAL_HANDOVER_H_
#define BASILSPREAD_CORE_INTERNAL_HANDOVER_H_

#include "internal/context.h"

/// The graceful stop: drains, releases the shards to their successors, exits.
namespace basilspread::internal::handover {

void OnStopRequested(Context& context);
void OnStopTimer(Context& context);

}  // namespace basilspread::internal::handover

#endif  // BASILSPREAD_CORE_INTERNAL_HANDOVER_H_
