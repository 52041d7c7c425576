#include "internal/leadership_proof.h"

#include <algorithm>
#include <string_view>

#include "internal/fleet_polls.h"
#include "internal/leadership.h"
#include "internal/other_runs.h"
#include "internal/predecessors.h"
#include "internal/step_placement.h"
#include "internal/work_log.h"

namespace basilspread::internal::leadership_proof {
namespace {

constexpr std::string_view kPart = "leadership";
/// The next leader waits for this long if it cannot tell that the former one's
/// witnesses have turned to it.
constexpr Duration kMaxTimeWithoutStore = std::chrono::seconds(30);
/// Clocks of both leaders may be off by one in fifty.
constexpr std::int64_t kDriftDivisor = 25;
constexpr Duration kWitnessPeriod = std::chrono::seconds(10);
/// Longer than kWitnessPeriod by more than clocks drift in that time.
constexpr Duration kWitnessRetention = std::chrono::seconds(12);
/// A start needs at least this part of a lease, so that two lost polls in a row
/// do not end the run.
constexpr int kStartLeaseDivisor = 2;

LeadershipState& LeadershipOf(Context& context) {
  return context.state.submissions.leadership;
}

LeadershipProofState& StateOf(Context& context) {
  return LeadershipOf(context).proof;
}

/// Whether the epoch of this leader is known to have been in force.
bool IsEpochInForce(const Context& context) {
  const LeaderPhase phase = context.state.submissions.leadership.phase;
  return phase != LeaderPhase::kFollowing && phase != LeaderPhase::kFencing;
}

/// Whether the latest proof is so old that everything that it allowed has ended
/// and the next leader may have started it elsewhere.
bool HasLapsed(const Context& context) {
  const std::optional<TimePoint> proven_at = ProvenAt(context);
  return !proven_at ||
         context.now >= *proven_at + fleet::polls::LongestLease(context);
}

void AdvanceStoreProof(Context& context, TimePoint at) {
  LeadershipProofState& state = StateOf(context);
  state.store = std::max(state.store.value_or(at), at);
  // Only while the store names this leader may a silent process be left out: it
  // cannot have become the next one before.
  std::erase_if(state.witnesses, [&state](const auto& witness) {
    return witness.second.heard_at < *state.store - kWitnessRetention;
  });
}

/// The earliest of the witnesses' latest confirmations; unset if one has given
/// none.
std::optional<TimePoint> EarliestConfirmation(
    const LeadershipProofState& state) {
  std::optional<TimePoint> earliest;
  for (const auto& [node, witness] : state.witnesses) {
    if (!witness.confirmed_at) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*witness.confirmed_at),
                        *witness.confirmed_at);
  }
  return earliest;
}

void AdvanceWitnessProof(Context& context) {
  LeadershipProofState& state = StateOf(context);
  const std::optional<TimePoint> at = EarliestConfirmation(state);
  const bool is_replaced =
      state.witness_replaced_at && state.store <= state.witness_replaced_at;
  // A witness may have led and ended since.
  if (at && !is_replaced && !HasLapsed(context)) {
    state.witnesses_confirmed_at =
        std::max(state.witnesses_confirmed_at.value_or(*at), *at);
  }
}

bool IsCurrent(const Context& context, const LeaderAck& ack) {
  const LeadershipState& state = context.state.submissions.leadership;
  return ack.epoch == state.epoch && ack.sent_at <= context.now &&
         ack.sent_at >= state.proof.valid_from;
}

}  // namespace

Duration LongestTimeWithoutStore() {
  return kMaxTimeWithoutStore + kMaxTimeWithoutStore / kDriftDivisor;
}
Duration WitnessPeriod() { return kWitnessPeriod; }

void Reset(Context& context) {
  LeadershipProofState& state = StateOf(context);
  state.store.reset();
  state.witnesses_confirmed_at.reset();
  state.unverified_since.reset();
  // The witnesses stay: each relies on being asked for as long as this process
  // lives.
  for (auto& [node, witness] : state.witnesses) {
    witness.confirmed_at.reset();
  }
}

void OnAppended(Context& context, TimePoint began) {
  LeadershipProofState& state = StateOf(context);
  if (began < state.valid_from) {
    return;
  }
  if (state.unverified_since && began >= *state.unverified_since) {
    state.unverified_since.reset();
  }
  AdvanceStoreProof(context, began);
}

bool OnJoined(Context& context, TimePoint sent_at, bool has_group_changed) {
  LeadershipProofState& state = StateOf(context);
  if (LeadershipOf(context).phase == LeaderPhase::kFollowing) {
    // The takeover begins with this answer.
    return true;
  }
  if (has_group_changed) {
    state.unverified_since = context.now;
    work_log::RecordLeader(context);
  }
  if (state.unverified_since) {
    return false;
  }
  if (IsEpochInForce(context) && sent_at >= state.valid_from) {
    AdvanceStoreProof(context, sent_at);
  }
  return true;
}

void OnReport(Context& context, const ProcessId& from,
              const HelperReport& report) {
  LeadershipState& leadership = LeadershipOf(context);
  if (leadership.phase == LeaderPhase::kFollowing) {
    return;
  }
  if (report.highest_epoch > leadership.epoch) {
    leadership::OnFenced(context, report.highest_epoch);
    return;
  }
  LeadershipProofState& state = StateOf(context);
  if (report.is_stopping) {
    // It does not lead any more.
    state.witnesses.erase(from.node);
    return;
  }
  const auto [found, is_new] =
      state.witnesses.try_emplace(from.node, Witness{from, {}, {}});
  Witness& witness = found->second;
  if (witness.process != from) {
    witness.process = from;
    state.witness_replaced_at = context.now;
  }
  witness.heard_at = context.now;
  if (IsCurrent(context, report.ack)) {
    witness.confirmed_at = std::max(
        witness.confirmed_at.value_or(report.ack.sent_at), report.ack.sent_at);
    AdvanceWitnessProof(context);
    predecessors::OnReport(context, from, report);
  }
  LeaderReport answer;
  answer.leader = ToString(GroupMember{context.state.settings.self,
                                       context.state.settings.peer_address});
  answer.generation = leadership.generation;
  answer.ack = {leadership.epoch, context.now, report.sent_at};
  other_runs::Send(context, from, std::move(answer));
}

void OnResumed(Context& context) {
  LeadershipState& leadership = LeadershipOf(context);
  Reset(context);
  // The clock stood still: no time from before can be compared with the
  // present.
  leadership.proof.valid_from = context.now;
  leadership.ack = {};
  leadership.acknowledged_by.clear();
  if (IsEpochInForce(context)) {
    leadership.proof.unverified_since = context.now;
    work_log::RecordLeader(context);
  }
}

void OnTimer(Context& context) {
  LeadershipProofState& state = StateOf(context);
  const bool is_missing = leadership::IsLeading(context) && !MayStart(context);
  if (is_missing == state.is_missing_logged) {
    return;
  }
  state.is_missing_logged = is_missing;
  if (!leadership::IsLeading(context)) {
    return;
  }
  context.Log(
      is_missing ? LogLevel::kWarning : LogLevel::kInfo, kPart,
      is_missing
          ? "The leadership is not proven; no run is started and leases lapse."
          : "The leadership is proven again; runs are started.",
      {{"epoch", LeadershipOf(context).epoch.value},
       {"proven_ms", TimeSinceProven(context)},
       {"witnesses", state.witnesses.size()},
       {"needs_append", NeedsAppend(context)}});
  if (!is_missing) {
    step_placement::WakeAll(context);
  }
}

std::optional<TimePoint> ProvenAt(const Context& context) {
  const LeadershipProofState& state =
      context.state.submissions.leadership.proof;
  if (!state.store || !state.witnesses_confirmed_at) {
    return state.store;
  }
  return std::max(*state.store, std::min(*state.witnesses_confirmed_at,
                                         *state.store + kMaxTimeWithoutStore));
}

Duration TimeSinceProven(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  return context.now - ProvenAt(context).value_or(state.gained_at);
}

bool MayStart(const Context& context) {
  const std::optional<TimePoint> proven_at = ProvenAt(context);
  return proven_at &&
         context.now < *proven_at + context.state.settings.store.max_lease /
                                        kStartLeaseDivisor;
}

bool HaveLapsed(const Context& context, TimePoint leased_until) {
  const auto& store = context.state.submissions.leadership.proof.store;
  return store && *store >= leased_until;
}

bool NeedsAppend(const Context& context) {
  return context.state.submissions.leadership.proof.unverified_since
      .has_value();
}

void OnAck(Context& context, const ProcessId& from, const LeaderAck& ack) {
  LeadershipState& state = LeadershipOf(context);
  if (ack.epoch.value == 0 || ack.epoch < state.highest_epoch ||
      ack.report_sent_at > context.now ||
      ack.report_sent_at < state.proof.valid_from) {
    return;
  }
  state.highest_epoch = ack.epoch;
  state.ack = {from, ack};
  TimePoint& sent_at = state.acknowledged_by[from];
  sent_at = std::max(sent_at, ack.report_sent_at);
  std::erase_if(state.acknowledged_by, [&context](const auto& leader) {
    return context.now > leader.second + kWitnessPeriod;
  });
}

void Describe(const Context& context, HelperReport& report) {
  const LeadershipState& state = context.state.submissions.leadership;
  report.sent_at = context.now;
  report.highest_epoch = state.highest_epoch;
  report.is_stopping = context.state.stopping;
  if (report.is_stopping) {
    return;
  }
  for (const auto& [process, sent_at] : state.acknowledged_by) {
    report.acknowledged_by.push_back({process, context.now - sent_at});
  }
  const auto& [from, ack] = state.ack;
  if (state.leader && state.leader->process == from &&
      ack.epoch == state.highest_epoch) {
    report.ack = ack;
  }
}

bool IsOver(const Context& context, Epoch epoch) {
  return epoch < context.state.submissions.leadership.highest_epoch;
}

}  // namespace basilspread::internal::leadership_proof
