#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_

#include "basilspread/core/event.h"
#include "basilspread/core/request.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Submits a call to the owner of a shard: this process or a peer. If no owner
/// is known, the call waits for one for a limited time.
void Submit(Context& context, const RemoteRequestPtr& call);

/// Handles an owner's answer; answers to earlier forward attempts are ignored.
void SettleForward(Context& context, const ProcessId& from,
                   const ForwardAnswer& message);

/// Submits a call again whose message to a peer was not sent.
void RetryUnsent(Context& context, const NodeName& peer,
                 const ForwardRequest& message);

/// Settles the calls that were forwarded to a lost peer: idempotent ones are
/// submitted again, the others end as kOutcomeUnknown.
void SettleCallsOfLostOwner(Context& context, const NodeName& peer);

/// Submits the calls again that wait for an owner and are due.
void RetryCallsAwaitingOwner(Context& context);

/// Ends the calls that got no answer within a grace period after their
/// deadline.
void ExpireForwards(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_FORWARDING_H_
