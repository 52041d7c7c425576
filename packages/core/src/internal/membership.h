#ifndef BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_

#include <optional>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Heartbeats between the entry processes.
namespace basilspread::internal::membership {

void Start(Context& context);
/// Comes before every event: finds gaps in this process's own clock.
void OnEvent(Context& context);
void OnHeartbeatTimer(Context& context);
void OnMembershipTimer(Context& context);
void OnHeartbeat(Context& context, const ProcessId& from,
                 const Heartbeat& heartbeat);

/// A new record of the process was read: it lives, heard or not.
void OnSeenInLog(Context& context, const ProcessId& process);

/// Sends a heartbeat to every connected peer now.
void SendHeartbeats(Context& context);

/// Whether the peer was heard within the timeout.
bool IsLive(const Context& context, const Peer& peer);

/// Whether this very run of the node was heard within the timeout.
bool IsLive(const Context& context, const ProcessId& process);

/// When the present run of the peer was last heard by anybody, as far as this
/// process knows.
std::optional<TimePoint> LastHeard(const Peer& peer);

}  // namespace basilspread::internal::membership

#endif  // BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
