#include "internal/leadership.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/candidacy.h"
#include "internal/fleet.h"
#include "internal/leader_release.h"
#include "internal/own_load.h"
#include "internal/relay_agent.h"
#include "internal/relays.h"
#include "internal/step_placement.h"
#include "internal/submission_calls.h"
#include "internal/work_log.h"

namespace basilspread::internal::leadership {
namespace {

constexpr std::string_view kPart = "leadership";
/// A leader that this process could not connect to for so long may be gone:
/// the others are asked again.
constexpr Duration kLinkPatience = std::chrono::seconds(1);
/// A new leader waits this long for workers that do not answer its first
/// look, ten times what one takes; what may run on them is then waited for
/// task by task.
constexpr Duration kLookPatience = std::chrono::milliseconds(150);
/// A process without the store asks some of its peers this often who leads,
/// in turn, so that in an outage for all the messages grow with their number
/// only.
constexpr Duration kAskInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxAsked = 4;
/// After a change of the group its members join this often for this long: a
/// leadership moves in two joins, of its former and then of its next holder.
constexpr Duration kSettleInterval = std::chrono::milliseconds(50);
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
/// A process that has heard nothing of its leader for so long says so in its
/// reports, one a second, and the leader answers at once.
constexpr Duration kUnheard = std::chrono::milliseconds(1500);
/// Two such reports without an answer: the link has gone silent for good.
constexpr Duration kSilence = std::chrono::milliseconds(3500);
/// The join that follows the end of a membership tells who leads next.
constexpr Duration kAfterLeave = std::chrono::milliseconds(20);

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

GroupMember Self(const Context& context) {
  return {context.state.settings.self, context.state.settings.peer_address};
}

void Enter(Context& context, LeaderPhase phase) {
  LeadershipState& state = StateOf(context);
  context.Log(LogLevel::kInfo, kPart, "Phase changed.",
              {{"from", NameOf(state.phase)},
               {"to", NameOf(phase)},
               {"epoch", state.epoch.value}});
  state.phase = phase;
  state.phase_began = context.now;
}

void TakeOver(Context& context, Epoch epoch) {
  LeadershipState& state = StateOf(context);
  state.epoch = epoch;
  state.gained_at = context.now;
  state.leader = Self(context);
  state.leader_generation = state.generation;
  submission_calls::DropLeaderState(context);
  Enter(context, LeaderPhase::kFencing);
  work_log::RaiseEpoch(context);
  Announce(context);
}

void StepDown(Context& context, std::string_view reason) {
  LeadershipState& state = StateOf(context);
  RememberHelpers(context);
  state.holds_leadership = false;
  state.confirmed_at.reset();
  state.leader.reset();
  if (state.phase == LeaderPhase::kFollowing) {
    return;
  }
  context.Log(LogLevel::kWarning, kPart, "Stopped leading.",
              {{"epoch", state.epoch.value},
               {"reason", reason},
               {"led_ms", context.now - state.gained_at},
               {"store_heard_ms", context.now - state.store_heard_at},
               {"own_delay_ms", own_load::RecentDelay(context)},
               {"busy_share", own_load::BusyShare(context)}});
  work_log::DeclineQueued(context, ErrorKind::kNotOwner);
  Enter(context, LeaderPhase::kFollowing);
  submission_calls::DropLeaderState(context);
}

void Adopt(Context& context, const GroupMember& member,
           std::uint64_t generation) {
  LeadershipState& state = StateOf(context);
  state.leader_generation = generation;
  if (state.leader == member) {
    return;
  }
  state.leader = member;
  state.leader_adopted_at = context.now;
  state.leader_heard_at = context.now;
  state.candidacy.refused_since.reset();
  context.Log(
      LogLevel::kInfo, kPart, "Follows a leader.",
      {{"leader", member.process.node.value}, {"generation", generation}});
  context.Emit(ConnectPeer{member.process.node, member.address});
  submission_calls::OnLeaderChanged(context);
}

void AskForLeader(Context& context) {
  LeadershipState& state = StateOf(context);
  if (state.reading_leader || state.holds_leadership) {
    return;
  }
  state.reading_leader = true;
  context.Emit(ReadLeader{});
}

/// Says when joins begin to fail and when they succeed again.
void NoteStore(Context& context, bool is_ok) {
  LeadershipState& state = StateOf(context);
  if (is_ok == !state.joins_fail_since) {
    return;
  }
  if (is_ok) {
    context.Log(LogLevel::kInfo, kPart, "The store takes joins again.",
                {{"away_ms", context.now - *state.joins_fail_since},
                 {"generation", state.generation}});
    state.joins_fail_since.reset();
    return;
  }
  state.joins_fail_since = context.now;
  context.Log(
      LogLevel::kWarning, kPart, "The store takes no joins.",
      {{"generation", state.generation}, {"leads", state.holds_leadership}});
}

/// Something between the two may have lost track of the connection, which new
/// ones get through.
void ReopenIfSilent(Context& context) {
  LeadershipState& state = StateOf(context);
  const bool is_linked =
      state.leader && state.linked_peers.contains(state.leader->process.node);
  const TimePoint since =
      std::max(state.leader_heard_at, state.leader_reopened_at);
  if (state.holds_leadership || !is_linked ||
      own_load::CaughtUpTo(context) < since + kSilence) {
    return;
  }
  state.leader_reopened_at = context.now;
  context.Log(LogLevel::kWarning, kPart, "Reopens a silent link.",
              {{"peer", state.leader->process.node.value}});
  context.Emit(ReopenLink{state.leader->process.node});
}

}  // namespace

void OnHeard(Context& context, const ProcessId& from) {
  LeadershipState& state = StateOf(context);
  if (state.leader && state.leader->process == from) {
    state.leader_heard_at = context.now;
  }
}

bool MissesLeader(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  return state.leader && !state.holds_leadership &&
         own_load::CaughtUpTo(context) >= state.leader_heard_at + kUnheard;
}

void Join(Context& context) {
  LeadershipState& state = StateOf(context);
  if (context.state.stopping || !candidacy::IsSelfCandidate(context)) {
    return;
  }
  const std::optional<CallChannel> channel = state.join_channels.Take();
  if (!channel) {
    return;
  }
  context.Emit(JoinGroup{ToString(Self(context)),
                         context.state.settings.store.member_time_to_live,
                         state.generation, *channel});
}

/// What the helpers are to the leader, the peers are to all others.
void RememberHelpers(Context& context) {
  LeadershipState& state = StateOf(context);
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    if (!helper.address.empty()) {
      state.peers[node] = {helper.process, helper.address};
    }
  }
}

void EndMembership(Context& context, const GroupMember& member,
                   std::string_view reason) {
  const std::string name = ToString(member);
  context.Log(LogLevel::kInfo, kPart, "Ends the membership of another.",
              {{"member", name},
               {"reason", reason},
               {"generation", StateOf(context).generation}});
  context.Emit(LeaveGroup{name});
  StateOf(context).leader.reset();
  context.ArmIn(TimerKind::kLeadership, kAfterLeave);
}

void Start(Context& context) {
  candidacy::Start(context);
  OnTimer(context);
}

void OnTimer(Context& context) {
  Join(context);
  const LeadershipState& state = StateOf(context);
  // Only members learn of the group's changes by their joins.
  const bool is_outdated = !state.leader || candidacy::IsUndecided(context) ||
                           (candidacy::IsSelfCandidate(context) &&
                            state.leader_generation != state.generation);
  // A join that is carried out late makes a process that stops a member again.
  if (is_outdated || context.state.stopping) {
    AskForLeader(context);
  }
  const bool is_unlinked =
      state.leader && !state.holds_leadership &&
      !state.linked_peers.contains(state.leader->process.node);
  if (is_unlinked && own_load::CaughtUpTo(context) >=
                         state.leader_adopted_at + kLinkPatience) {
    OnLeaderLost(context);
  }
  // Whoever this process follows may itself be cut off from the store.
  const bool is_cut_off =
      state.joins_fail_since && context.now >= state.next_peer_query;
  if ((state.holds_leadership && !IsConfirmed(context)) || is_cut_off) {
    AskPeers(context);
  }
  if (context.now >= context.state.submissions.next_report) {
    submission_calls::Report(context);
  }
  ReopenIfSilent(context);
  CheckReconciled(context);
  const Duration interval = context.state.settings.store.join_interval;
  const Duration next = candidacy::NextCheck(context, interval);
  context.ArmIn(TimerKind::kLeadership, context.now < state.rebalancing_until
                                            ? std::min(next, kSettleInterval)
                                            : next);
  candidacy::OnTimer(context);
}

void OnJoined(Context& context, const GroupJoined& event) {
  LeadershipState& state = StateOf(context);
  state.join_channels.Release(event.channel);
  NoteStore(context, event.ok);
  if (!event.ok) {
    return;
  }
  OnStoreAnswered(context);
  if (!candidacy::IsSelfCandidate(context)) {
    // A join that was carried out after this process had left the group.
    LeaveGroupOnly(context);
    return;
  }
  // Joins on several channels overtake each other; what the group says of
  // itself is ordered by its generation.
  if (context.state.stopping || event.generation < state.generation) {
    return;
  }
  const bool has_changed = state.generation != event.generation;
  state.generation = event.generation;
  if (!event.leads && state.holds_leadership) {
    StepDown(context, "the group gave the leadership to another member");
  }
  if (event.leads) {
    state.confirmed_at =
        std::max(state.confirmed_at.value_or(event.sent_at), event.sent_at);
    if (!state.holds_leadership) {
      state.holds_leadership = true;
      TakeOver(context, std::max(Epoch{event.generation}, state.epoch));
    }
  }
  leader_release::OnJoined(context, event.sent_at);
  if (has_changed) {
    // A partition moves only once its former holder has joined with the new
    // generation, so that its next holder learns of it by a later join.
    Join(context);
    AskForLeader(context);
    state.rebalancing_until = context.now + kSettleTime;
    context.ArmIn(TimerKind::kLeadership, kAfterLeave);
  }
}

void OnLeaderRead(Context& context, const LeaderRead& event) {
  LeadershipState& state = StateOf(context);
  state.reading_leader = false;
  if (state.holds_leadership) {
    return;
  }
  const bool is_candidate = candidacy::IsSelfCandidate(context);
  if (!is_candidate) {
    NoteStore(context, event.ok);
  }
  if (!event.ok) {
    if (!state.leader) {
      AskPeers(context);
    }
    return;
  }
  const std::optional<GroupMember> member = ParseGroupMember(event.member);
  const ProcessId& self = context.state.settings.self;
  if (member && member->process.node == self.node && member->process != self) {
    candidacy::OnEarlierRun(context);
    EndMembership(context, *member, "it is an earlier run of this process");
    return;
  }
  candidacy::OnOwnerRead(context, !member);
  if (!member || member->process == self) {
    // Nobody leads, or this process is about to learn that it does.
    state.leader.reset();
    if (member && !context.state.stopping) {
      Join(context);
    }
    if (member && context.state.stopping) {
      context.Emit(LeaveGroup{event.member});
    }
    return;
  }
  // One that does not join knows the generation by reports only.
  Adopt(context, *member,
        is_candidate ? state.generation
                     : std::max(state.generation, state.leader_generation));
}

void OnPeerRefused(Context& context, const PeerRefused& event) {
  const LeadershipState& state = StateOf(context);
  const bool is_leader =
      state.leader && state.leader->process.node == event.peer;
  if (is_leader && !state.holds_leadership &&
      !state.linked_peers.contains(event.peer) &&
      candidacy::MayEndMembership(context)) {
    // A listener lives as long as its process, so the leader has ended.
    EndMembership(context, *state.leader, "its host refuses connections");
  }
}

void OnReport(Context& context, const LeaderReport& report) {
  if (report.releases) {
    leader_release::OnAsked(context, report);
    return;
  }
  LeadershipState& state = StateOf(context);
  const ProcessId& self = context.state.settings.self;
  if (!report.members.empty()) {
    state.peers.clear();
  }
  for (const std::string& text : report.members) {
    const std::optional<GroupMember> member = ParseGroupMember(text);
    if (member && member->process.node != self.node) {
      state.peers[member->process.node] = *member;
    }
  }
  const std::optional<GroupMember> leader = ParseGroupMember(report.leader);
  const bool is_news =
      report.generation > state.leader_generation ||
      (!state.leader && report.generation == state.leader_generation);
  if (leader && is_news && leader->process != self) {
    if (state.holds_leadership) {
      // This process is cut off from the store, which gave its place away.
      StepDown(context, "a peer follows a later leader");
    }
    Adopt(context, *leader, report.generation);
  }
  if (leader && state.leader == *leader) {
    candidacy::OnReport(context, report);
  }
}

void OnLeaderLost(Context& context) {
  LeadershipState& state = StateOf(context);
  if (!state.holds_leadership) {
    state.leader.reset();
    AskForLeader(context);
  }
}

void AskPeers(Context& context) {
  RememberHelpers(context);
  LeadershipState& state = StateOf(context);
  state.next_peer_query = context.now + kAskInterval;
  const std::size_t count = std::min(state.peers.size(), kMaxAsked);
  auto peer = state.peers.upper_bound(state.last_queried_peer);
  for (std::size_t i = 0; i < count; ++i) {
    if (peer == state.peers.end()) {
      peer = state.peers.begin();
    }
    const auto& [node, member] = *peer++;
    context.Emit(ConnectPeer{node, member.address});
    context.Emit(SendToPeer{node, relay_agent::Describe(context)});
    state.last_queried_peer = node;
  }
}

void OnResumed(Context& context, const Resumed& event) {
  context.Log(LogLevel::kWarning, kPart, "The process was suspended.",
              {{"suspended_ms", event.suspended}});
  StateOf(context).confirmed_at.reset();
  Join(context);
}

void OnStoreAnswered(Context& context) {
  StateOf(context).store_heard_at = context.now;
}

void LeaveGroupOnly(Context& context) {
  context.Emit(LeaveGroup{ToString(Self(context))});
}

void Leave(Context& context, std::string_view reason) {
  LeaveGroupOnly(context);
  if (StateOf(context).holds_leadership) {
    leader_release::Ask(context);
  }
  StepDown(context, reason);
  AskForLeader(context);
}

void SuspectLeader(Context& context) {
  LeadershipState& state = StateOf(context);
  // Joins do not tell: while the leadership moves, the group names its former
  // holder under the generation that the next one gets it under.
  if (context.now < state.candidacy.next_leader_check) {
    return;
  }
  state.candidacy.next_leader_check =
      context.now + context.state.settings.store.join_interval;
  AskForLeader(context);
}

void TellLeadership(Context& context, const NodeName& peer) {
  LeaderReport report;
  report.leader = ToString(Self(context));
  report.generation = StateOf(context).generation;
  candidacy::Describe(context, report);
  context.Emit(SendToPeer{peer, std::move(report)});
}

void Announce(Context& context) {
  const LeadershipState& state = StateOf(context);
  for (const auto& [node, member] : state.peers) {
    if (state.linked_peers.contains(node)) {
      TellLeadership(context, node);
    } else {
      // It is told once the connection stands.
      context.Emit(ConnectPeer{node, member.address});
    }
  }
}

void OnFenced(Context& context, Epoch in_force) {
  LeadershipState& state = StateOf(context);
  const bool held = state.holds_leadership;
  StepDown(context, "a higher epoch stands");
  // Should the group still name this process, it takes over again above the
  // epoch that stands.
  state.epoch = std::max(state.epoch, Epoch{in_force.value + 1});
  if (held) {
    Join(context);
  }
}

bool IsLeading(const Context& context) {
  return context.state.submissions.leadership.phase == LeaderPhase::kLeading;
}

bool IsConfirmed(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  return state.phase == LeaderPhase::kLeading && state.confirmed_at &&
         context.now < *state.confirmed_at +
                           context.state.settings.store.member_time_to_live;
}

void OnEpochRaised(Context& context) {
  Enter(context, LeaderPhase::kLoading);
  context.Emit(ListWork{});
}

void OnLoaded(Context& context) {
  Enter(context, LeaderPhase::kReconciling);
  // Not before the log was read: a look's answer makes sense only to one who
  // knows the submissions.
  fleet::Start(context);
}

void CheckReconciled(Context& context) {
  const LeadershipState& state = StateOf(context);
  if (state.phase != LeaderPhase::kReconciling) {
    return;
  }
  const std::size_t unknown = fleet::CountUnknown(context);
  const bool is_complete = fleet::IsListed(context) && unknown == 0;
  if (!is_complete &&
      own_load::CaughtUpTo(context) <
          state.phase_began + kLookPatience + relays::TimeOfWay(context)) {
    return;
  }
  if (!is_complete) {
    fleet::HoldInherited(context);
  }
  context.Count(Metric::kTakeovers);
  context.Observe(Metric::kTakeoverTime, context.now - state.gained_at);
  context.Log(LogLevel::kInfo, kPart, "Leads.",
              {{"epoch", state.epoch.value},
               {"took_ms", context.now - state.gained_at},
               {"unknown_workers", unknown},
               {"submissions", context.state.submissions.all.size()}});
  Enter(context, LeaderPhase::kLeading);
  // What the looks brought up is stored and placed from here on.
  work_log::Pump(context);
  step_placement::Request(context);
  submission_calls::OnLeading(context);
}

}  // namespace basilspread::internal::leadership
