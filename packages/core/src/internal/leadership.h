#ifndef BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_

#include <string_view>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Leader election and takeover: the process that holds the leadership in the
/// group leads.
namespace basilspread::internal::leadership {

void Start(Context& context);
void OnTimer(Context& context);
void OnJoined(Context& context, const GroupJoined& event);
void OnLeaderRead(Context& context, const LeaderRead& event);
/// Handles a peer's report of who leads.
void OnReport(Context& context, const ProcessId& from,
              const LeaderReport& report);
/// Handles that no process listens at a peer's address.
void OnPeerRefused(Context& context, const PeerRefused& event);
/// Notes that a message from another process arrived.
void OnPeerMessage(Context& context, const ProcessId& from);
/// Whether the leader has been silent for so long that this process asks it for
/// an answer.
bool MissesLeader(const Context& context);
/// Handles the loss of the connection to the leader.
void OnLeaderLost(Context& context);
/// Asks some of the other processes who leads.
void QueryPeers(Context& context);
void OnResumed(Context& context, const Resumed& event);
/// Notes that the store answered a call successfully.
void OnStoreAnswered(Context& context);
/// Joins the group, or renews the membership, if this process is a candidate.
void Join(Context& context);
/// Leaves the group, and gives up the leadership if this process holds it.
void Leave(Context& context, std::string_view reason);
/// Leaves the group; for a process that does not lead.
void LeaveGroupOnly(Context& context);
/// Ends the membership of a former leader, so that the group assigns the
/// leadership at once and not only when the membership expires.
void EndMembership(Context& context, const GroupMember& member,
                   std::string_view reason);
/// Handles the suspicion that there is another leader, since the known one did
/// not answer or denied leading: reads the group's owner.
void SuspectLeader(Context& context);
/// While leading: reports the leadership and the candidates to a peer.
void TellLeadership(Context& context, const NodeName& peer);
/// While leading: reports the leadership to all peers, since those that are no
/// candidates do not learn of it from the group.
void Announce(Context& context);
/// Adds the helpers known to the leader to the peers.
void AddHelpersToPeers(Context& context);

/// Handles that a higher epoch is in force at the store or at a worker.
void OnFenced(Context& context, Epoch in_force);
/// Takes over anew, since the epoch has no fences left for a worker.
void OnFencesUsedUp(Context& context);

/// Whether this process is the active leader, which places tasks on workers.
bool IsLeading(const Context& context);
/// Whether no other process can have gained the leadership, so that a
/// submission unknown to this process does not exist.
bool IsConfirmed(const Context& context);
/// Age of the latest confirmation of the leadership, or of the takeover if
/// there was none since.
Duration TimeSinceConfirmed(const Context& context);

/// Handles that the work log's epoch was raised: reads the log.
void OnEpochRaised(Context& context);
/// Handles that the work log was read: polls the workers.
void OnWorkLogLoaded(Context& context);
/// Enters the leading phase once all workers have answered or the time-out for
/// them has passed.
void CheckReconciled(Context& context);

}  // namespace basilspread::internal::leadership

#endif  // BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_
