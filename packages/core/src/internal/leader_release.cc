#include "internal/leader_release.h"

#include <utility>

#include "internal/candidacy.h"
#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/work_log.h"

namespace basilspread::internal::leader_release {
namespace {

constexpr std::string_view kPart = "leadership";
/// A leader whose append has had no answer for so long, nor any other call,
/// hands over: forty times what an append takes, and long before the
/// membership ends by time.
constexpr Duration kStoreSilence = std::chrono::milliseconds(400);
/// A longer time between two checks is this process's own pause.
constexpr Duration kCheckGap = std::chrono::milliseconds(250);
/// Time for a hand-over before another one is asked for.
constexpr Duration kReleaseInterval = std::chrono::seconds(3);
/// A peer whose own joins take longer ends no membership: the store is slow
/// for everyone, and the next leader would do no better.
constexpr Duration kSwiftJoin = std::chrono::milliseconds(100);

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

}  // namespace

void Ask(Context& context) {
  leadership::RememberHelpers(context);
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

void OnAsked(Context& context, const LeaderReport& report) {
  LeadershipState& state = StateOf(context);
  const std::optional<GroupMember> leader = ParseGroupMember(report.leader);
  const bool is_old = report.generation < state.leader_generation;
  if (!leader || is_old || state.holds_leadership || context.state.stopping) {
    return;
  }
  state.releasing_leader = leader;
  state.release_requested_at = context.now;
  candidacy::OnAsked(context);
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
  const bool is_old = arrived > state.release_requested_at + kSwiftJoin * 2;
  if (!state.holds_leadership && !is_old && arrived - sent_at <= kSwiftJoin) {
    leadership::EndMembership(context, member, "it gives the leadership up");
  }
}

void CheckStore(Context& context) {
  LeadershipState& state = StateOf(context);
  if (context.now > state.store_checked_at + kCheckGap) {
    state.store_heard_at = context.now;
  }
  state.store_checked_at = context.now;
  const TimePoint heard_at = state.store_heard_at;
  // Other threads of a process that was late may still be.
  const Duration patience = kStoreSilence + own_load::RecentDelay(context);
  if (!leadership::IsLeading(context) || context.now < heard_at + patience ||
      !work_log::IsWaiting(context, patience) ||
      context.now < state.release_sent_at + kReleaseInterval) {
    return;
  }
  state.release_sent_at = context.now;
  context.Log(LogLevel::kWarning, kPart,
              "The store does not answer; asks for another leader.",
              {{"epoch", state.epoch.value},
               {"silent_ms", context.now - heard_at},
               {"own_delay_ms", own_load::RecentDelay(context)},
               {"busy_share", own_load::BusyShare(context)}});
  Ask(context);
}

}  // namespace basilspread::internal::leader_release
