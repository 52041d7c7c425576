#include "internal/relay_agent.h"

#include <utility>

#include "internal/candidacy.h"
#include "internal/leadership_proof.h"
#include "internal/other_runs.h"
#include "internal/own_load.h"

namespace basilspread::internal::relay_agent {
namespace {

constexpr std::string_view kPart = "hands";
/// Results that arrive within this time share a message: each message costs the
/// leader an event, and workers end what they run within a few milliseconds.
constexpr Duration kBatchDelay = std::chrono::milliseconds(3);
/// A process with a longer queueing delay relays no calls: half of the time
/// that the leader allows for the round trip to a relay.
constexpr Duration kMaxDelay = std::chrono::milliseconds(100);
/// A process whose control thread is busy for a larger share of the time relays
/// no calls.
constexpr double kMaxBusyShare = 0.7;
/// Hysteresis: relaying resumes once both are below the limit divided by this.
constexpr int kResumeDivisor = 2;

RelayAgentState& StateOf(Context& context) {
  return context.state.submissions.relay;
}

bool CanRelay(Context& context) {
  RelayAgentState& relay = StateOf(context);
  const int divisor = relay.carries_calls ? 1 : kResumeDivisor;
  const bool has_headroom =
      own_load::RecentDelay(context) <= kMaxDelay / divisor &&
      own_load::BusyShare(context) <= kMaxBusyShare / divisor;
  if (has_headroom != relay.carries_calls) {
    context.Log(LogLevel::kInfo, kPart,
                "Starts or stops relaying calls because of its load.",
                {{"carries", has_headroom},
                 {"own_delay_ms", own_load::RecentDelay(context)},
                 {"busy_share", own_load::BusyShare(context)}});
  }
  relay.carries_calls = has_headroom;
  return has_headroom && !context.state.stopping &&
         context.state.settings.store.carries_calls;
}

/// Closes a call and returns its report; unset if the call is not open.
std::optional<RelayReport> Finish(Context& context, std::uint64_t number,
                                  OrderResult result) {
  const auto call = StateOf(context).open.extract(number);
  if (call.empty()) {
    return std::nullopt;
  }
  RelayReport report;
  report.number = number;
  report.result = result;
  report.took = context.now - call.mapped();
  return report;
}

void QueueReport(Context& context, RelayReport report) {
  RelayAgentState& relay = StateOf(context);
  if (relay.reports.empty()) {
    context.ArmIn(TimerKind::kRelayAgent, kBatchDelay);
  }
  relay.reports.push_back(std::move(report));
}

void Reset(RelayAgentState& relay) {
  relay.leader.reset();
  relay.open.clear();
  relay.reports.clear();
}

}  // namespace

HelperReport Describe(Context& context) {
  HelperReport report = candidacy::DescribeSelf(context);
  report.zone = context.state.settings.zone;
  report.carries_calls = CanRelay(context);
  leadership_proof::Describe(context, report);
  return report;
}

void OnOrders(Context& context, const ProcessId& from,
              const RelayOrders& message) {
  RelayAgentState& relay = StateOf(context);
  LeadershipState& leadership = context.state.submissions.leadership;
  if (leadership_proof::IsOver(context, message.epoch)) {
    context.Log(LogLevel::kInfo, kPart,
                "Ignores the orders of an earlier leader.",
                {{"from", from.node.value},
                 {"epoch", message.epoch.value},
                 {"highest_epoch", leadership.highest_epoch.value},
                 {"orders", message.orders.size()}});
    context.Emit(SendToPeer{from.node, Describe(context)});
    return;
  }
  leadership.highest_epoch = message.epoch;
  if (relay.leader != from || relay.epoch != message.epoch) {
    Reset(relay);
    relay.leader = from;
    relay.epoch = message.epoch;
  }
  for (const WorkerOrder& order : message.orders) {
    std::visit(
        [&](const auto& call) {
          relay.open[call.number] = context.now;
          context.Emit(call);
        },
        order);
  }
}

void OnOrdered(Context& context, const RunOrdered& event) {
  if (auto report = Finish(context, event.number, event.result)) {
    report->clock = event.clock;
    QueueReport(context, *std::move(report));
  }
}

void OnPolled(Context& context, const WorkerPolled& event) {
  if (auto report = Finish(context, event.number, event.result)) {
    report->clock = event.clock;
    report->incarnation = event.incarnation;
    report->running = event.running;
    report->ended = event.ended;
    report->may_have_more_ends = event.may_have_more_ends;
    QueueReport(context, *std::move(report));
  }
}

void OnTimer(Context& context) {
  RelayAgentState& relay = StateOf(context);
  if (relay.leader && !relay.reports.empty()) {
    other_runs::Send(
        context, *relay.leader,
        RelayReports{relay.epoch, std::exchange(relay.reports, {})});
  }
}

void OnLinkLost(Context& context, const NodeName& node) {
  RelayAgentState& relay = StateOf(context);
  if (relay.leader && relay.leader->node == node) {
    Reset(relay);
  }
}

bool IsIdle(const Context& context) {
  const RelayAgentState& relay = context.state.submissions.relay;
  return relay.open.empty() && relay.reports.empty();
}

}  // namespace basilspread::internal::relay_agent
