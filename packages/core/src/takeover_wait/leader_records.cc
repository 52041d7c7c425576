#include "takeover_wait/leader_records.h"

#include <algorithm>

#include "internal/fleet_polls.h"
#include "internal/leadership_proof.h"
#include "internal/work_log.h"

namespace basilspread::internal::takeover_wait {
namespace {

/// Interval of the records of a wait. A takeover repeats at most this much of
/// it.
constexpr Duration kStoreInterval = std::chrono::seconds(1);
/// Clocks of two leaders may be off by one in fifty.
constexpr std::int64_t kDriftDivisor = 50;

}  // namespace

LeaderRecord MakeOwnLeaderRecord(const Context& context) {
  const Settings& settings = context.state.settings;
  return {settings.self, settings.peer_address,
          context.state.submissions.leadership.epoch};
}

std::optional<LeaderRecord> MakeLeaderRecord(const Context& context,
                                             const NodeName& node) {
  const auto& predecessors = context.state.submissions.leadership.predecessors;
  const auto found = predecessors.find(node);
  // Without an address, the record of the predecessor could not be read.
  if (found == predecessors.end() || found->second.address.empty()) {
    return std::nullopt;
  }
  const Predecessor& predecessor = found->second;
  LeaderRecord record{predecessor.process, predecessor.address,
                      predecessor.epoch};
  record.has_ended = predecessor.ended_at.has_value();
  record.lease_left = std::max<Duration>(
      LeasesEndOf(context, predecessor) - context.now, Duration::zero());
  return record;
}

void ApplyRecord(const Context& context, const LeaderRecord& record,
                 Predecessor& predecessor) {
  // Everything in the log was appended before this leader's epoch was in force.
  const TimePoint appended_before =
      context.state.submissions.leadership.epoch_raised_at;
  if (record.has_ended) {
    predecessor.ended_at = appended_before;
  }
  if (record.lease_left) {
    predecessor.lapsed_by = appended_before + *record.lease_left +
                            *record.lease_left / kDriftDivisor;
  }
}

void OnEnded(Context& context, const Predecessor& predecessor) {
  work_log::RecordPredecessor(context, predecessor.process.node);
}

void StoreWaits(Context& context) {
  LeadershipState& state = context.state.submissions.leadership;
  if (context.now < state.next_wait_record) {
    return;
  }
  state.next_wait_record = context.now + kStoreInterval;
  for (const auto& [node, predecessor] : state.predecessors) {
    work_log::RecordPredecessor(context, node);
  }
}

TimePoint LeasesEndOf(const Context& context, const Predecessor& predecessor) {
  const TimePoint last_proof = predecessor.ended_at.value_or(
      context.state.submissions.leadership.epoch_raised_at +
      leadership_proof::LongestTimeWithoutStore());
  const TimePoint end = last_proof + fleet::polls::LongestLease(context);
  return std::min(end, predecessor.lapsed_by.value_or(end));
}

}  // namespace basilspread::internal::takeover_wait
