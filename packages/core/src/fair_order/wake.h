#ifndef BASILSPREAD_CORE_FAIR_ORDER_WAKE_H_
#define BASILSPREAD_CORE_FAIR_ORDER_WAKE_H_

#include "basilspread/core/ids.h"
#include "internal/context.h"

namespace basilspread::internal::fair_order {

/// Has the next placement pass consider the most urgent submissions that wait
/// for the pool without advice, so that capacity which became free goes to them
/// rather than to the next arrival. Does nothing while this process is behind
/// with its events.
void WakeMostUrgent(Context& context, const PoolName& pool);

}  // namespace basilspread::internal::fair_order

#endif  // BASILSPREAD_CORE_FAIR_ORDER_WAKE_H_
