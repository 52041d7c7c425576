#include "internal/hand_relay.h"

#include <utility>

#include "internal/candidacy.h"
#include "internal/own_load.h"

namespace basilspread::internal::hand_relay {
namespace {

constexpr std::string_view kPart = "hands";
/// Ends that come within this time share a message: each message costs the
/// leader an event, and workers end what they run within a few milliseconds.
constexpr Duration kGatherTime = std::chrono::milliseconds(3);
/// A process whose events wait longer makes no calls for others: half of the
/// time that the leader grants for the way to a hand and back.
constexpr Duration kMostDelay = std::chrono::milliseconds(100);
/// Share of its time that its control thread may be busy.
constexpr double kMostBusy = 0.7;
/// A process that made no calls does so again below this part of both.
constexpr int kCalmDivisor = 2;

HandRelayState& StateOf(Context& context) {
  return context.state.submissions.relay;
}

bool CanCarry(Context& context) {
  HandRelayState& relay = StateOf(context);
  const int divisor = relay.carries_calls ? 1 : kCalmDivisor;
  const bool is_swift =
      own_load::RecentDelay(context) <= kMostDelay / divisor &&
      own_load::BusyShare(context) <= kMostBusy / divisor;
  if (is_swift != relay.carries_calls) {
    context.Log(LogLevel::kInfo, kPart, "Changes whether it makes calls.",
                {{"carries", is_swift},
                 {"own_delay_ms", own_load::RecentDelay(context)},
                 {"busy_share", own_load::BusyShare(context)}});
  }
  relay.carries_calls = is_swift;
  return is_swift && !context.state.stopping &&
         context.state.settings.store.carries_calls;
}

/// Unset for a call that is no longer waited for.
std::optional<HandReport> Finish(Context& context, std::uint64_t number,
                                 OrderResult result) {
  const auto call = StateOf(context).open.extract(number);
  if (call.empty()) {
    return std::nullopt;
  }
  HandReport report;
  report.number = number;
  report.result = result;
  report.took = context.now - call.mapped();
  return report;
}

void Gather(Context& context, HandReport report) {
  HandRelayState& relay = StateOf(context);
  if (relay.reports.empty()) {
    context.ArmIn(TimerKind::kHandRelay, kGatherTime);
  }
  relay.reports.push_back(std::move(report));
}

void Forget(HandRelayState& relay) {
  relay.leader.reset();
  relay.open.clear();
  relay.reports.clear();
}

}  // namespace

HelperReport Describe(Context& context) {
  HelperReport report = candidacy::DescribeSelf(context);
  report.zone = context.state.settings.zone;
  report.carries_calls = CanCarry(context);
  return report;
}

void OnOrders(Context& context, const ProcessId& from,
              const HandOrders& message) {
  HandRelayState& relay = StateOf(context);
  if (message.epoch < relay.epoch) {
    context.Log(LogLevel::kInfo, kPart, "Ignores a replaced leader's orders.",
                {{"from", from.node.value},
                 {"epoch", message.epoch.value},
                 {"orders", message.orders.size()}});
    return;
  }
  if (relay.leader != from || relay.epoch != message.epoch) {
    Forget(relay);
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
    Gather(context, *std::move(report));
  }
}

void OnPolled(Context& context, const WorkerPolled& event) {
  if (auto report = Finish(context, event.number, event.result)) {
    report->clock = event.clock;
    report->incarnation = event.incarnation;
    report->running = event.running;
    report->ended = event.ended;
    Gather(context, *std::move(report));
  }
}

void OnTimer(Context& context) {
  HandRelayState& relay = StateOf(context);
  if (relay.leader && !relay.reports.empty()) {
    context.Emit(
        SendToPeer{relay.leader->node,
                   HandReports{relay.epoch, std::exchange(relay.reports, {})}});
  }
}

void OnLinkLost(Context& context, const NodeName& node) {
  HandRelayState& relay = StateOf(context);
  if (relay.leader && relay.leader->node == node) {
    Forget(relay);
  }
}

bool IsIdle(const Context& context) {
  const HandRelayState& relay = context.state.submissions.relay;
  return relay.open.empty() && relay.reports.empty();
}

}  // namespace basilspread::internal::hand_relay
