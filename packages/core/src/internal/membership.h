#ifndef BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_

#include <optional>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Liveness of the entry processes, by heartbeats.
namespace basilspread::internal::membership {

void Start(Context& context);
/// Runs before every event is handled and detects pauses of this process.
void OnEvent(Context& context);
void OnHeartbeatTimer(Context& context);
void OnMembershipTimer(Context& context);
void OnHeartbeat(Context& context, const ProcessId& from,
                 const Heartbeat& heartbeat);

/// A new record by the process was read from the log, which shows that it is
/// alive even if its heartbeats do not arrive here.
void OnSeenInLog(Context& context, const ProcessId& process);

/// Sends a heartbeat to every connected peer at once.
void SendHeartbeats(Context& context);

/// Whether a heartbeat of the peer arrived within the peer timeout.
bool IsLive(const Context& context, const Peer& peer);

/// Whether a heartbeat of this incarnation of the node arrived within the peer
/// timeout; true for this process itself.
bool IsLive(const Context& context, const ProcessId& process);

/// When the present incarnation of the peer was last heard by this or another
/// process; unset if this process never heard the peer.
std::optional<TimePoint> LastHeard(const Peer& peer);

}  // namespace basilspread::internal::membership

#endif  // BASILSPREAD_CORE_INTERNAL_MEMBERSHIP_H_
