#include "internal/leadership.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/fleet.h"
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
/// look; what may run on them is then waited for task by task.
constexpr Duration kLookPatience = std::chrono::milliseconds(900);

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

GroupMember Self(const Context& context) {
  return {context.state.settings.self, context.state.settings.peer_address};
}

void Join(Context& context) {
  LeadershipState& state = StateOf(context);
  if (context.state.stopping) {
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

void StepDown(Context& context, std::string_view reason) {
  LeadershipState& state = StateOf(context);
  RememberHelpers(context);
  state.holds = false;
  state.confirmed_at.reset();
  state.leader.reset();
  if (state.phase == LeaderPhase::kFollowing) {
    return;
  }
  context.Log(LogLevel::kWarning, kPart, "Stopped leading.",
              {{"epoch", state.epoch.value}, {"reason", reason}});
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
  context.Log(
      LogLevel::kInfo, kPart, "Follows a leader.",
      {{"leader", member.process.node.value}, {"generation", generation}});
  context.Emit(ConnectPeer{member.process.node, member.address});
  submission_calls::OnLeaderChanged(context);
}

void AskForLeader(Context& context) {
  LeadershipState& state = StateOf(context);
  if (state.reading_leader || state.holds) {
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
  context.Log(LogLevel::kWarning, kPart, "The store takes no joins.",
              {{"generation", state.generation}, {"leads", state.holds}});
}

}  // namespace

void Start(Context& context) {
  StateOf(context).store_failed_at = context.now;
  OnTimer(context);
}

void OnTimer(Context& context) {
  Join(context);
  const LeadershipState& state = StateOf(context);
  const bool is_outdated =
      !state.leader || state.leader_generation != state.generation;
  // A join that is carried out late makes a process that stops a member again.
  if (is_outdated || context.state.stopping) {
    AskForLeader(context);
  }
  const bool is_unlinked = state.leader && !state.holds &&
                           !state.linked.contains(state.leader->process.node);
  if (is_unlinked && context.now >= state.leader_adopted_at + kLinkPatience) {
    OnLeaderLost(context);
  }
  if (state.holds && !IsConfirmed(context)) {
    AskPeers(context);
  }
  if (context.now >= context.state.submissions.next_report) {
    submission_calls::Report(context);
  }
  CheckLooks(context);
  context.ArmIn(TimerKind::kLeadership,
                context.state.settings.store.join_interval);
}

void OnJoined(Context& context, const GroupJoined& event) {
  LeadershipState& state = StateOf(context);
  state.join_channels.Release(event.channel);
  NoteStore(context, event.ok);
  if (!event.ok) {
    state.store_failed_at = context.now;
    return;
  }
  // Joins on several channels overtake each other; what the group says of
  // itself is ordered by its generation.
  if (context.state.stopping || event.generation < state.generation) {
    return;
  }
  const bool has_changed = state.generation != event.generation;
  state.generation = event.generation;
  if (!event.leads && state.holds) {
    StepDown(context, "the group gave the leadership to another member");
  }
  if (event.leads) {
    state.confirmed_at =
        std::max(state.confirmed_at.value_or(event.sent_at), event.sent_at);
    if (!state.holds) {
      state.holds = true;
      TakeOver(context, std::max(Epoch{event.generation}, state.epoch));
    }
  }
  if (has_changed) {
    // A partition moves only once its former holder has joined with the new
    // generation.
    Join(context);
    AskForLeader(context);
  }
}

void OnLeaderRead(Context& context, const LeaderRead& event) {
  LeadershipState& state = StateOf(context);
  state.reading_leader = false;
  if (state.holds) {
    return;
  }
  if (!event.ok) {
    if (!state.leader) {
      AskPeers(context);
    }
    return;
  }
  const std::optional<GroupMember> member = ParseGroupMember(event.member);
  if (!member || member->process == context.state.settings.self) {
    // Nobody leads, or this process is about to learn that it does.
    state.leader.reset();
    if (member && context.state.stopping) {
      context.Emit(LeaveGroup{event.member});
    }
    return;
  }
  Adopt(context, *member, state.generation);
}

void OnReport(Context& context, const LeaderReport& report) {
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
    if (state.holds) {
      // This process is cut off from the store, which gave its place away.
      StepDown(context, "a peer follows a later leader");
    }
    Adopt(context, *leader, report.generation);
  }
}

void OnLeaderLost(Context& context) {
  LeadershipState& state = StateOf(context);
  if (!state.holds) {
    state.leader.reset();
    AskForLeader(context);
  }
}

void AskPeers(Context& context) {
  RememberHelpers(context);
  for (const auto& [node, member] : StateOf(context).peers) {
    context.Emit(ConnectPeer{node, member.address});
    context.Emit(
        SendToPeer{node, HelperReport{context.state.settings.peer_address}});
  }
}

void OnResumed(Context& context, const Resumed& event) {
  context.Log(LogLevel::kWarning, kPart, "The process was suspended.",
              {{"suspended_ms", event.suspended}});
  StateOf(context).confirmed_at.reset();
  Join(context);
}

void Leave(Context& context) {
  context.Emit(LeaveGroup{ToString(Self(context))});
  StepDown(context, "the process stops");
  AskForLeader(context);
}

void OnFenced(Context& context, Epoch in_force) {
  LeadershipState& state = StateOf(context);
  const bool held = state.holds;
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
  Enter(context, LeaderPhase::kLooking);
  // Not before the log was read: a look's answer makes sense only to one who
  // knows the submissions.
  fleet::Start(context);
}

void CheckLooks(Context& context) {
  const LeadershipState& state = StateOf(context);
  if (state.phase != LeaderPhase::kLooking) {
    return;
  }
  const std::size_t unknown = fleet::CountUnknown(context);
  const bool is_complete = fleet::IsListed(context) && unknown == 0;
  if (!is_complete && context.now < state.phase_began + kLookPatience) {
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
