#ifndef BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_

#include "basilspread/core/event.h"
#include "internal/context.h"

namespace basilspread::internal::membership {

void Start(Context& context);
void OnHeartbeatTimer(Context& context);
void OnMembershipTimer(Context& context);
void OnHeartbeat(Context& context, const ProcessId& from,
                 const Heartbeat& heartbeat);
void OnLinkChanged(Context& context, const PeerLinkChanged& event);

/// Whether the peer was heard within the timeout.
bool IsLive(const Context& context, const Peer& peer);

/// Whether this very run of the node was heard within the timeout.
bool IsLive(const Context& context, const ProcessId& process);

}  // namespace basilspread::internal::membership

#endif  // BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
