#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_

#include "basilspread/core/event.h"
#include "basilspread/core/request.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Hands a call to the owner of a shard: this process or a peer. Where none
/// is known it waits for one, within a bound.
void Submit(Context& context, const RemoteRequestPtr& call);

/// Takes an owner's answer; one of an earlier try is dropped.
void SettleForward(Context& context, const ProcessId& from,
                   const ForwardAnswer& message);

/// Tries a call elsewhere whose message surely did not leave.
void RetryUnsent(Context& context, const NodeName& peer,
                 const ForwardRequest& message);

/// Settles the calls whose owner is gone.
void SettleCallsOfLostOwner(Context& context, const NodeName& peer);

/// Tries the calls again that wait for an owner.
void RetryCallsAwaitingOwner(Context& context);

/// Ends the calls whose owner did not answer in time.
void ExpireForwards(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_
