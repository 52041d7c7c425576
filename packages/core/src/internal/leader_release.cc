#include "internal/leader_release.h"

#include <utility>

#include "internal/candidacy.h"
#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/work_log.h"

namespace basilspread::internal::leader_release {
namespace {

constexpr std::string_view kPart = "leadership";
/// A leader gives up the leadership if neither its append nor any other call to
/// the store has been answered for this long: forty times the duration of an
/// append, and long before the membership expires.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(400);
/// A longer time between two checks means that this process itself was paused.
constexpr Duration kMaxCheckGap = std::chrono::milliseconds(250);
/// Time allowed for a hand-over before it is requested again.
constexpr Duration kReleaseInterval = std::chrono::seconds(3);
/// A peer whose own joins take longer does not end the leader's membership: the
/// store is slow for everyone, and the next leader would do no better.
constexpr Duration kMaxJoinTime = std::chrono::milliseconds(100);

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

}  // namespace

void RequestRelease(Context& context) {
  leadership::AddHelpersToPeers(context);
  LeaderReport report;
  const Settings& settings = context.state.settings;
  report.leader = ToString(GroupMember{settings.self, settings.peer_address});
  report.generation = StateOf(context).generation;
  report.releases = true;
  for (const auto& [node, member] : StateOf(context).peers) {
    if (candidacy::MaySucceed(context, node)) {
      context.Emit(SendToPeer{node, report});
    }
  }
}

void OnReleaseRequested(Context& context, const LeaderReport& report) {
  LeadershipState& state = StateOf(context);
  const std::optional<GroupMember> leader = ParseGroupMember(report.leader);
  const bool is_old = report.generation < state.leader_generation;
  if (!leader || is_old || state.holds_leadership || context.state.stopping) {
    return;
  }
  state.releasing_leader = leader;
  state.release_requested_at = context.now;
  candidacy::OnSuccessorRequested(context);
  leadership::Join(context);
}

void OnJoined(Context& context, TimePoint sent_at) {
  LeadershipState& state = StateOf(context);
  if (!state.releasing_leader || sent_at < state.release_requested_at) {
    return;
  }
  const GroupMember member =
      *std::exchange(state.releasing_leader, std::nullopt);
  const TimePoint arrived = own_load::CaughtUpTo(context);
  const bool is_old = arrived > state.release_requested_at + kMaxJoinTime * 2;
  if (!state.holds_leadership && !is_old && arrived - sent_at <= kMaxJoinTime) {
    leadership::EndMembership(context, member, "it gives up the leadership");
  }
}

void CheckStore(Context& context) {
  LeadershipState& state = StateOf(context);
  if (context.now > state.store_checked_at + kMaxCheckGap) {
    state.store_heard_at = context.now;
  }
  state.store_checked_at = context.now;
  const TimePoint heard_at = state.store_heard_at;
  // If this process's control thread was late, its other threads may still be.
  const Duration timeout = kStoreTimeout + own_load::RecentDelay(context);
  if (!leadership::IsLeading(context) || context.now < heard_at + timeout ||
      !work_log::IsWaiting(context, timeout) ||
      context.now < state.release_sent_at + kReleaseInterval) {
    return;
  }
  state.release_sent_at = context.now;
  context.Log(LogLevel::kWarning, kPart,
              "The store does not answer; asks peers to take over.",
              {{"epoch", state.epoch.value},
               {"silent_ms", context.now - heard_at},
               {"own_delay_ms", own_load::RecentDelay(context)},
               {"busy_share", own_load::BusyShare(context)}});
  RequestRelease(context);
}

}  // namespace basilspread::internal::leader_release
