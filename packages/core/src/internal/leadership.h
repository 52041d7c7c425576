#ifndef BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_

#include <string_view>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Which process leads: the one that holds the leadership in the group.
namespace basilspread::internal::leadership {

void Start(Context& context);
void OnTimer(Context& context);
void OnJoined(Context& context, const GroupJoined& event);
void OnLeaderRead(Context& context, const LeaderRead& event);
/// A peer says who leads.
void OnReport(Context& context, const LeaderReport& report);
/// The host of a peer says that no process listens there.
void OnPeerRefused(Context& context, const PeerRefused& event);
/// Another process has sent something.
void OnHeard(Context& context, const ProcessId& from);
/// Whether the leader has been silent for so long that it is asked for a sign.
bool MissesLeader(const Context& context);
/// The connection to the leader broke.
void OnLeaderLost(Context& context);
/// Asks the other members who leads.
void AskPeers(Context& context);
void OnResumed(Context& context, const Resumed& event);
/// The store has answered a call with success.
void OnStoreAnswered(Context& context);
/// Joins the group or stays in it, if this process stands for it.
void Join(Context& context);
/// Leaves the group, and hands the leadership over if this process has it.
void Leave(Context& context, std::string_view reason);
/// Leaves the group; for a process that does not lead.
void LeaveGroupOnly(Context& context);
/// Ends the membership of a process that leads no longer, so that the group
/// names the next leader at once and not when the membership lapses.
void EndMembership(Context& context, const GroupMember& member,
                   std::string_view reason);
/// The leader did not answer or does not lead: another one may. A process
/// that does not join the group reads who.
void SuspectLeader(Context& context);
/// While leading: tells the peer so, and who stands.
void TellLeadership(Context& context, const NodeName& peer);
/// While leading: tells the peers so, since not all of them join the group.
void Announce(Context& context);
/// Takes the helpers into the peers.
void RememberHelpers(Context& context);

/// A higher epoch stands at the store or at a worker.
void OnFenced(Context& context, Epoch in_force);

/// Whether this process places on workers.
bool IsLeading(const Context& context);
/// Whether no other process can have come to lead, so that what this one
/// does not know does not exist.
bool IsConfirmed(const Context& context);

/// The work log's epoch was raised; reads the log.
void OnEpochRaised(Context& context);
/// The log was read; looks at the workers.
void OnLoaded(Context& context);
/// Leads, once the workers are known or were waited for long enough.
void CheckReconciled(Context& context);

}  // namespace basilspread::internal::leadership

#endif  // BASILSPREAD_CORE_INTERNAL_LEADERSHIP_H_
