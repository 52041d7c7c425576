#ifndef BASILSPREAD_CORE_INTERNAL_HANDOVER_H_
#define BASILSPREAD_CORE_INTERNAL_HANDOVER_H_

#include "internal/context.h"

/// Graceful stop: drains, releases the shards to their successors, then exits.
namespace basilspread::internal::handover {

void OnStopRequested(Context& context);
/// Releases idle shards and exits once everything is released or the stop
/// deadline has passed.
void OnStopTimer(Context& context);

}  // namespace basilspread::internal::handover

#endif  // BASILSPREAD_CORE_INTERNAL_HANDOVER_H_
