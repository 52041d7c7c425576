#include "internal/predecessors.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "internal/fleet_polls.h"
#include "internal/leadership_proof.h"
#include "internal/work_log.h"
#include "takeover_wait/inherited_work.h"
#include "takeover_wait/leader_records.h"

namespace basilspread::internal::predecessors {
namespace {

constexpr std::string_view kPart = "leadership";

LeadershipState& StateOf(Context& context) {
  return context.state.submissions.leadership;
}

void End(Context& context, Predecessor& predecessor, std::string_view reason) {
  predecessor.ended_at = context.now;
  context.Log(LogLevel::kInfo, kPart, "An earlier leader has ended.",
              {{"leader", predecessor.process.node.value},
               {"epoch_of_leader", predecessor.epoch.value},
               {"epoch", StateOf(context).epoch.value},
               {"lease_left_ms",
                takeover_wait::LeasesEndOf(context, predecessor) - context.now},
               {"reason", reason}});
  takeover_wait::OnEnded(context, predecessor);
}

/// Whether a process that sent a report at this time was a witness of the
/// leader that acknowledged it when this takeover began. If it follows this
/// one since, that leader gains no further proof.
bool WasWitness(const Context& context, TimePoint report_sent_at) {
  return report_sent_at >=
         context.state.submissions.leadership.epoch_raised_at -
             leadership_proof::WitnessPeriod();
}

/// Why the report shows that the leader has ended; empty if it does not.
std::string_view ReasonIn(const Context& context,
                          const Predecessor& predecessor, const ProcessId& from,
                          const HelperReport& report) {
  if (from == predecessor.process) {
    return "it follows this one";
  }
  if (from.node == predecessor.process.node) {
    return "its node runs another process";
  }
  const bool was_witness =
      std::any_of(report.acknowledged_by.begin(), report.acknowledged_by.end(),
                  [&](const AcknowledgingLeader& leader) {
                    // The report was sent after this process sent `ack`.
                    return leader.process == predecessor.process &&
                           leader.age >= Duration::zero() &&
                           WasWitness(context, report.ack.sent_at - leader.age);
                  });
  return was_witness ? "its witness follows this one" : "";
}

}  // namespace

void Load(Context& context, const LeaderRecord& record) {
  // One node runs one process at a time.
  if (record.process.node == context.state.settings.self.node) {
    return;
  }
  Predecessor predecessor;
  predecessor.process = record.process;
  predecessor.address = record.address;
  predecessor.epoch = record.epoch;
  takeover_wait::ApplyRecord(context, record, predecessor);
  LeadershipState& state = StateOf(context);
  state.predecessors[record.process.node] = predecessor;
  const bool is_known = !record.address.empty();
  if (is_known && !state.linked_peers.contains(record.process.node)) {
    // If it still leads, it is told of this leader once the link is open.
    context.Emit(ConnectPeer{record.process.node, record.address});
  }
}

void OnLoaded(Context& context) {
  LeadershipState& state = StateOf(context);
  for (auto& [node, predecessor] : state.predecessors) {
    const auto sent_at = state.acknowledged_by.find(predecessor.process);
    if (!predecessor.ended_at && sent_at != state.acknowledged_by.end() &&
        WasWitness(context, sent_at->second)) {
      End(context, predecessor, "this process was its witness");
    }
  }
}

void OnReport(Context& context, const ProcessId& from,
              const HelperReport& report) {
  bool has_ended = false;
  for (auto& [node, predecessor] : StateOf(context).predecessors) {
    const std::string_view reason =
        predecessor.ended_at ? ""
                             : ReasonIn(context, predecessor, from, report);
    if (!reason.empty()) {
      End(context, predecessor, reason);
      has_ended = true;
    }
  }
  if (has_ended) {
    takeover_wait::OnLeasesEndChanged(context);
  }
}

void OnTimer(Context& context) {
  std::vector<NodeName> ended;
  for (const auto& [node, predecessor] : StateOf(context).predecessors) {
    if (context.now >= takeover_wait::LeasesEndOf(context, predecessor)) {
      ended.push_back(node);
    }
  }
  for (const NodeName& node : ended) {
    StateOf(context).predecessors.erase(node);
    if (!StateOf(context).linked_peers.contains(node)) {
      context.Emit(DisconnectPeer{node});
    }
    work_log::ForgetLeader(context, node);
  }
  takeover_wait::StoreWaits(context);
}

TimePoint LeasesEnd(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  TimePoint end = state.epoch_raised_at + fleet::polls::LongestLease(context);
  for (const auto& [node, predecessor] : state.predecessors) {
    end = std::max(end, takeover_wait::LeasesEndOf(context, predecessor));
  }
  return end;
}

}  // namespace basilspread::internal::predecessors
