#include "internal/leadership.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/candidacy.h"
#include "internal/fleet.h"
#include "internal/leader_release.h"
#include "internal/leadership_proof.h"
#include "internal/own_load.h"
#include "internal/predecessors.h"
#include "internal/relay_agent.h"
#include "internal/relays.h"
#include "internal/step_placement.h"
#include "internal/submission_calls.h"
#include "internal/work_log.h"
#include "takeover_wait/inherited_work.h"

namespace basilspread::internal::leadership {
namespace {

constexpr std::string_view kPart = "leadership";
/// If no connection to the leader has been opened within this time, the leader
/// may be gone and its identity is read again.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
/// Time that a new leader waits for the answers to its first poll of the
/// workers: ten times the duration of a poll. After that, only the tasks that
/// may still run on the silent workers wait for them.
constexpr Duration kReconcileTimeout = std::chrono::milliseconds(150);
/// Interval at which a process that cannot reach the store asks a few peers, in
/// round-robin order, who leads. The limit on their number keeps the number of
/// messages linear in the number of processes when the store is down for all.
constexpr Duration kPeerQueryInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxQueriedPeers = 4;
/// Interval at which members join for some time after a change of the group:
/// moving the leadership takes a join of the former and then of the next
/// holder.
constexpr Duration kRebalanceJoinInterval = std::chrono::milliseconds(50);
constexpr Duration kRebalancePeriod = std::chrono::milliseconds(500);
/// A process that has received nothing from its leader for this long says so in
/// its reports, which are sent every second; the leader answers them at once.
constexpr Duration kLeaderMissedAfter = std::chrono::milliseconds(1500);
/// Time after which two such reports have gone unanswered: the connection is
/// taken for dead.
constexpr Duration kLeaderSilenceTimeout = std::chrono::milliseconds(3500);
/// Delay of the join after the end of a membership; it shows who leads next.
constexpr Duration kRejoinDelay = std::chrono::milliseconds(20);

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

GroupMember Self(const Context& context) {
  return {context.state.settings.self, context.state.settings.peer_address};
}

void EnterPhase(Context& context, LeaderPhase phase) {
  LeadershipState& state = StateOf(context);
  context.Log(LogLevel::kInfo, kPart, "Leader phase changed.",
              {{"from", NameOf(state.phase)},
               {"to", NameOf(phase)},
               {"epoch", state.epoch.value},
               {"generation", state.generation}});
  state.phase = phase;
  state.phase_began = context.now;
}

void BeginTakeover(Context& context) {
  LeadershipState& state = StateOf(context);
  const Epoch epoch{std::max(state.generation, state.highest_epoch.value + 1)};
  if (state.lost_at) {
    context.Log(LogLevel::kInfo, kPart, "Leads again.",
                {{"epoch", epoch.value},
                 {"epoch_before", state.epoch.value},
                 {"generation", state.generation},
                 {"since_lost_ms", context.now - *state.lost_at}});
  }
  state.epoch = epoch;
  state.highest_epoch = epoch;
  state.gained_at = context.now;
  state.leader = Self(context);
  state.leader_generation = state.generation;
  state.predecessors.clear();
  leadership_proof::Reset(context);
  submission_calls::DropLeaderState(context);
  EnterPhase(context, LeaderPhase::kFencing);
  work_log::RaiseEpoch(context);
  Announce(context);
}

void StepDown(Context& context, std::string_view reason) {
  LeadershipState& state = StateOf(context);
  AddHelpersToPeers(context);
  state.holds_leadership = false;
  state.leader.reset();
  const Duration confirmed = TimeSinceConfirmed(context);
  state.confirmed_at.reset();
  if (state.phase == LeaderPhase::kFollowing) {
    return;
  }
  context.Log(LogLevel::kWarning, kPart, "Stopped leading.",
              {{"epoch", state.epoch.value},
               {"reason", reason},
               {"led_ms", context.now - state.gained_at},
               {"confirmed_ms", confirmed},
               {"store_heard_ms", context.now - state.store_heard_at},
               {"own_delay_ms", own_load::RecentDelay(context)},
               {"busy_share", own_load::BusyShare(context)}});
  state.lost_at = context.now;
  work_log::DeclineQueued(context, ErrorKind::kNotOwner);
  leadership_proof::Reset(context);
  EnterPhase(context, LeaderPhase::kFollowing);
  submission_calls::DropLeaderState(context);
}

void FollowLeader(Context& context, const GroupMember& member,
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

void ReadCurrentLeader(Context& context) {
  LeadershipState& state = StateOf(context);
  if (state.reading_leader || state.holds_leadership) {
    return;
  }
  state.reading_leader = true;
  context.Emit(ReadLeader{});
}

/// Logs when joins start to fail and when they succeed again.
void LogStoreAvailability(Context& context, bool is_ok) {
  LeadershipState& state = StateOf(context);
  if (is_ok == !state.joins_fail_since) {
    return;
  }
  if (is_ok) {
    context.Log(LogLevel::kInfo, kPart, "Joins of the group succeed again.",
                {{"away_ms", context.now - *state.joins_fail_since},
                 {"generation", state.generation}});
    state.joins_fail_since.reset();
    return;
  }
  state.joins_fail_since = context.now;
  context.Log(
      LogLevel::kWarning, kPart, "Joins of the group fail; they are repeated.",
      {{"generation", state.generation}, {"leads", state.holds_leadership}});
}

/// Logs when the leadership is no longer confirmed and when it is again.
void LogConfirmation(Context& context) {
  LeadershipState& state = StateOf(context);
  const bool is_unconfirmed = IsLeading(context) && !IsConfirmed(context);
  if (is_unconfirmed == state.is_unconfirmed_logged) {
    return;
  }
  state.is_unconfirmed_logged = is_unconfirmed;
  if (!IsLeading(context)) {
    return;
  }
  context.Log(is_unconfirmed ? LogLevel::kWarning : LogLevel::kInfo, kPart,
              is_unconfirmed
                  ? "The leadership is no longer confirmed; goes on with "
                    "accepted work."
                  : "The leadership is confirmed again.",
              {{"epoch", state.epoch.value},
               {"generation", state.generation},
               {"confirmed_ms", TimeSinceConfirmed(context)},
               {"store_heard_ms", context.now - state.store_heard_at},
               {"linked_peers", state.linked_peers.size()}});
}

/// Reopens the connection to a silent leader: a device on the path may have
/// dropped the state of the connection while it lets new ones through.
void ReopenSilentLink(Context& context) {
  LeadershipState& state = StateOf(context);
  const bool is_linked =
      state.leader && state.linked_peers.contains(state.leader->process.node);
  const TimePoint since =
      std::max(state.leader_heard_at, state.leader_reopened_at);
  if (state.holds_leadership || !is_linked ||
      own_load::CaughtUpTo(context) < since + kLeaderSilenceTimeout) {
    return;
  }
  state.leader_reopened_at = context.now;
  context.Log(LogLevel::kWarning, kPart,
              "Reopens the connection to a silent leader.",
              {{"peer", state.leader->process.node.value}});
  context.Emit(ReopenLink{state.leader->process.node});
}

/// Gives the leadership up. If the group still names this process, it takes
/// over again with an epoch higher than the one in force.
void GiveUpEpoch(Context& context, Epoch in_force, std::string_view reason) {
  LeadershipState& state = StateOf(context);
  const bool held = state.holds_leadership;
  StepDown(context, reason);
  state.highest_epoch = std::max(state.highest_epoch, in_force);
  if (held) {
    Join(context);
  }
}

}  // namespace

void OnPeerMessage(Context& context, const ProcessId& from) {
  LeadershipState& state = StateOf(context);
  if (state.leader && state.leader->process == from) {
    state.leader_heard_at = context.now;
  }
}

bool MissesLeader(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  return state.leader && !state.holds_leadership &&
         own_load::CaughtUpTo(context) >=
             state.leader_heard_at + kLeaderMissedAfter;
}

void Join(Context& context) {
  LeadershipState& state = StateOf(context);
  if (context.state.stopping || !candidacy::IsSelfCandidate(context)) {
    return;
  }
  const std::optional<CallChannel> channel = state.join_channels.Acquire();
  if (!channel) {
    return;
  }
  context.Emit(JoinGroup{ToString(Self(context)),
                         context.state.settings.store.member_time_to_live,
                         state.generation, *channel});
}

/// Helpers report only to the leader. As peers they can still be asked after
/// the leadership is lost.
void AddHelpersToPeers(Context& context) {
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
  context.Log(LogLevel::kInfo, kPart,
              "Ends another process's membership of the group.",
              {{"member", name},
               {"reason", reason},
               {"generation", StateOf(context).generation}});
  context.Emit(LeaveGroup{name});
  StateOf(context).leader.reset();
  context.ArmIn(TimerKind::kLeadership, kRejoinDelay);
}

void Start(Context& context) {
  candidacy::Start(context);
  OnTimer(context);
}

void OnTimer(Context& context) {
  Join(context);
  const LeadershipState& state = StateOf(context);
  // Members learn of changes of the group from the answers to their joins.
  const bool is_outdated = !state.leader || candidacy::IsUndecided(context) ||
                           (candidacy::IsSelfCandidate(context) &&
                            state.leader_generation != state.generation);
  // A late join can make a stopping process a member again.
  if (is_outdated || context.state.stopping) {
    ReadCurrentLeader(context);
  }
  const bool is_unlinked =
      state.leader && !state.holds_leadership &&
      !state.linked_peers.contains(state.leader->process.node);
  if (is_unlinked && own_load::CaughtUpTo(context) >=
                         state.leader_adopted_at + kConnectTimeout) {
    OnLeaderLost(context);
  }
  // The leader that this process follows may be cut off from the store too.
  const bool is_cut_off =
      state.joins_fail_since && context.now >= state.next_peer_query;
  if ((state.holds_leadership && !IsConfirmed(context)) || is_cut_off) {
    QueryPeers(context);
  }
  if (context.now >= context.state.submissions.next_report) {
    submission_calls::Report(context);
  }
  ReopenSilentLink(context);
  LogConfirmation(context);
  leadership_proof::OnTimer(context);
  if (IsLeading(context)) {
    predecessors::OnTimer(context);
  }
  CheckReconciled(context);
  const Duration interval = context.state.settings.store.join_interval;
  const Duration next = candidacy::NextCheckDelay(context, interval);
  context.ArmIn(TimerKind::kLeadership,
                context.now < state.rebalancing_until
                    ? std::min(next, kRebalanceJoinInterval)
                    : next);
  candidacy::OnTimer(context);
}

void OnJoined(Context& context, const GroupJoined& event) {
  LeadershipState& state = StateOf(context);
  state.join_channels.Release(event.channel);
  LogStoreAvailability(context, event.ok);
  if (!event.ok) {
    return;
  }
  OnStoreAnswered(context);
  if (!candidacy::IsSelfCandidate(context)) {
    // The join was carried out after this process had left the group.
    LeaveGroupOnly(context);
    return;
  }
  // Joins on different channels can overtake each other; the generation orders
  // their answers.
  if (context.state.stopping || event.generation < state.generation) {
    return;
  }
  const bool has_changed = state.generation != event.generation;
  state.generation = event.generation;
  // Joins of one generation that overtake each other are ordered by the times
  // at which they were sent.
  const bool is_overtaken =
      event.leads ? !state.holds_leadership && state.lost_at &&
                        event.sent_at < *state.lost_at
                  : state.confirmed_at && event.sent_at < *state.confirmed_at;
  if (!has_changed && is_overtaken) {
    return;
  }
  if (!event.leads && state.holds_leadership) {
    StepDown(context, "the group gave the leadership to another member");
  }
  if (event.leads) {
    state.held_at = std::max(state.held_at, event.sent_at);
    if (leadership_proof::OnJoined(context, event.sent_at, has_changed)) {
      state.confirmed_at =
          std::max(state.confirmed_at.value_or(event.sent_at), event.sent_at);
    } else {
      state.confirmed_at.reset();
    }
    if (!state.holds_leadership) {
      state.holds_leadership = true;
      BeginTakeover(context);
    }
  }
  leader_release::OnJoined(context, event.sent_at);
  if (has_changed) {
    // The leadership moves only once its former holder has joined with the new
    // generation; the next holder learns of it from a later join.
    Join(context);
    ReadCurrentLeader(context);
    state.rebalancing_until = context.now + kRebalancePeriod;
    context.ArmIn(TimerKind::kLeadership, kRejoinDelay);
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
    LogStoreAvailability(context, event.ok);
  }
  if (!event.ok) {
    if (!state.leader) {
      QueryPeers(context);
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
    // There is no leader, or the next join tells this process that it leads.
    state.leader.reset();
    if (member && !context.state.stopping) {
      Join(context);
    }
    if (member && context.state.stopping) {
      context.Emit(LeaveGroup{event.member});
    }
    return;
  }
  // A process that does not join knows the generation only from reports.
  FollowLeader(context, *member,
               is_candidate
                   ? state.generation
                   : std::max(state.generation, state.leader_generation));
}

void OnPeerRefused(Context& context, const PeerRefused& event) {
  const LeadershipState& state = StateOf(context);
  const bool is_leader =
      state.leader && state.leader->process.node == event.peer;
  if (is_leader && !state.holds_leadership &&
      !state.linked_peers.contains(event.peer) &&
      candidacy::MayEndMembership(context)) {
    // A process listens as long as it lives, so the leader has ended.
    EndMembership(context, *state.leader, "its host refuses connections");
  }
}

void OnReport(Context& context, const ProcessId& from,
              const LeaderReport& report) {
  if (report.releases) {
    leader_release::OnReleaseRequested(context, report);
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
  const bool is_newer =
      report.generation > state.leader_generation ||
      (!state.leader && report.generation == state.leader_generation);
  if (leader && is_newer && leader->process != self) {
    if (state.holds_leadership) {
      // This process is cut off from the store, and the group has given the
      // leadership to another one.
      StepDown(context, "a peer follows a later leader");
    }
    FollowLeader(context, *leader, report.generation);
  }
  if (leader && state.leader == *leader) {
    candidacy::OnReport(context, report);
  }
  if (leader && leader->process == from) {
    leadership_proof::OnAck(context, from, report.ack);
  }
}

void OnLeaderLost(Context& context) {
  LeadershipState& state = StateOf(context);
  if (!state.holds_leadership) {
    state.leader.reset();
    ReadCurrentLeader(context);
  }
}

void QueryPeers(Context& context) {
  AddHelpersToPeers(context);
  LeadershipState& state = StateOf(context);
  state.next_peer_query = context.now + kPeerQueryInterval;
  const std::size_t count = std::min(state.peers.size(), kMaxQueriedPeers);
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
  context.Log(LogLevel::kWarning, kPart,
              "The process was suspended; the leadership must be confirmed.",
              {{"suspended_ms", event.suspended}});
  StateOf(context).confirmed_at.reset();
  leadership_proof::OnResumed(context);
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
    leader_release::RequestRelease(context);
  }
  StepDown(context, reason);
  ReadCurrentLeader(context);
}

void SuspectLeader(Context& context) {
  LeadershipState& state = StateOf(context);
  // The generation of the joins does not show this: while the leadership moves,
  // the group still lists the former holder at the generation at which the next
  // one gets it.
  if (context.now < state.candidacy.next_leader_check) {
    return;
  }
  state.candidacy.next_leader_check =
      context.now + context.state.settings.store.join_interval;
  ReadCurrentLeader(context);
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
      // The peer is told once the connection is open.
      context.Emit(ConnectPeer{node, member.address});
    }
  }
}

void OnFenced(Context& context, Epoch in_force) {
  GiveUpEpoch(context, in_force, "a higher epoch is in force");
}

void OnFencesUsedUp(Context& context) {
  GiveUpEpoch(context, StateOf(context).epoch,
              "the fences of its epoch are used up");
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

Duration TimeSinceConfirmed(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  return context.now - state.confirmed_at.value_or(state.gained_at);
}

void OnEpochRaised(Context& context) {
  StateOf(context).epoch_raised_at = context.now;
  Join(context);
  EnterPhase(context, LeaderPhase::kLoading);
  work_log::RequestList(context);
}

void OnWorkLogLoaded(Context& context) {
  predecessors::OnLoaded(context);
  EnterPhase(context, LeaderPhase::kReconciling);
  // Only after the log was read: the answers to polls can be interpreted only
  // with the submissions known.
  fleet::Start(context);
}

void CheckReconciled(Context& context) {
  const LeadershipState& state = StateOf(context);
  if (state.phase != LeaderPhase::kReconciling) {
    return;
  }
  const FleetState& fleet = context.state.submissions.fleet;
  const bool is_complete = fleet.is_listed && fleet.unanswered.empty();
  if (state.held_at < state.epoch_raised_at) {
    // The epoch may have been raised late, when another process led again.
    return;
  }
  if (!is_complete && own_load::CaughtUpTo(context) <
                          std::max(state.phase_began, fleet.listed_at) +
                              kReconcileTimeout +
                              relays::MaxExtraCallTime(context)) {
    return;
  }
  takeover_wait::OnTakeover(context);
  context.Count(Metric::kTakeovers);
  context.Observe(Metric::kTakeoverTime, context.now - state.gained_at);
  context.Log(LogLevel::kInfo, kPart, "Takeover complete; this process leads.",
              {{"epoch", state.epoch.value},
               {"took_ms", context.now - state.gained_at},
               {"unknown_workers", fleet.unanswered.size()},
               {"awaited", takeover_wait::DescribeUnanswered(context)},
               {"submissions", context.state.submissions.all.size()}});
  EnterPhase(context, LeaderPhase::kLeading);
  // From here on, results of the polls are stored and tasks are placed.
  work_log::Pump(context);
  step_placement::Request(context);
  submission_calls::OnLeading(context);
}

}  // namespace basilspread::internal::leadership
