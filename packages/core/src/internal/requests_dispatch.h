#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_DISPATCH_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_DISPATCH_H_

#include "basilspread/core/event.h"
#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

const Route* FindRoute(const Context& context, const RouteName& name);

/// Starts queued requests of the shard while slots are free.
void Dispatch(Context& context, const ShardId& shard);

/// Retries or ends a request after an attempt was answered or failed. Results
/// of earlier attempts are ignored.
void SettleAttempt(Context& context, const MinionAnswered& event);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_DISPATCH_H_
