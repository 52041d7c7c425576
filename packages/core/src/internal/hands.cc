#include "internal/hands.h"

#include <algorithm>
#include <utility>

#include "basilspread/core/random.h"
#include "internal/fleet.h"
#include "internal/leadership.h"
#include "internal/own_load.h"

namespace basilspread::internal::hands {
namespace {

constexpr std::string_view kPart = "hands";
/// Added to a call's own time-out for its way to the hand and back: some forty
/// times what it takes between two zones.
constexpr Duration kWayMargin = std::chrono::milliseconds(200);
/// A hand whose reports take longer on their way is slow.
constexpr Duration kSlowWay = std::chrono::milliseconds(150);
/// A hand that was slow or lost a call gets none for this long; doubles.
constexpr Duration kFirstPause = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 3;
/// After so long without another fault the first pause is short again.
constexpr Duration kForgivenAfter = std::chrono::seconds(30);
/// Of the processes that report, one in this many may be paused at once: with
/// more, the delay is more likely this process's or its link's.
constexpr std::size_t kPausedDivisor = 4;
/// Hands report every second; one that was silent for longer than this is not
/// relied on.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2500);
/// Hands through which calls to a worker were lost in a row, after which the
/// fault is taken for the worker's.
constexpr std::size_t kMaxLostThrough = 2;

HandsState& StateOf(Context& context) {
  return context.state.submissions.fleet.hands;
}

/// Numbers of different leaders differ, so that a report to an earlier one is
/// not mistaken.
std::uint64_t NextNumber(Context& context) {
  constexpr unsigned kEpochShift = 32;
  const std::uint64_t epoch = context.state.submissions.leadership.epoch.value;
  return (epoch << kEpochShift) + ++StateOf(context).last_number;
}

bool IsPaused(const Context& context, const NodeName& node) {
  const auto& hands = context.state.submissions.fleet.hands.hands;
  const auto hand = hands.find(node);
  return hand != hands.end() && context.now < hand->second.paused_until;
}

bool IsUsable(const Context& context, const Helper& helper) {
  return helper.carries_calls &&
         helper.process != context.state.settings.self &&
         context.now < helper.heard_at + kReportTimeout &&
         context.state.submissions.leadership.linked.contains(
             helper.process.node) &&
         !IsPaused(context, helper.process.node);
}

bool IsLostThrough(const FleetWorker& worker, const NodeName& node) {
  return worker.lost_through.size() < kMaxLostThrough &&
         worker.lost_through.contains(node);
}

/// The usable process that ranks highest for the worker, so that the end of
/// one moves only its own workers. Algorithm: rendezvous hashing (Thaler and
/// Ravishankar, 1998). Unset without any.
std::optional<ProcessId> Choose(Context& context, const FleetWorker& worker) {
  std::optional<ProcessId> best;
  std::pair<bool, std::uint64_t> best_rank;
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    if (!IsUsable(context, helper) || IsLostThrough(worker, node)) {
      continue;
    }
    // Calls within a zone cost next to nothing.
    const std::pair<bool, std::uint64_t> rank{
        helper.zone == worker.entry.zone,
        StableHash(node.value + "|" + worker.entry.name.value)};
    if (!best || rank > best_rank) {
      best = helper.process;
      best_rank = rank;
    }
  }
  return best;
}

bool IsHandUsable(const Context& context, const FleetWorker& worker) {
  if (!worker.hand || IsLostThrough(worker, worker.hand->node)) {
    return false;
  }
  const auto& helpers = context.state.submissions.helpers;
  const auto helper = helpers.find(worker.hand->node);
  return helper != helpers.end() && helper->second.process == *worker.hand &&
         IsUsable(context, helper->second);
}

/// A worker keeps its hand, whose connections to it are open. While nothing is
/// under way there it may get another one that has come meanwhile, so that
/// the workers stay spread.
void UpdateHand(Context& context, FleetWorker& worker) {
  const std::uint64_t changes = StateOf(context).changes;
  const bool is_idle = worker.runs.empty() && worker.polls == 0;
  const bool may_change = is_idle && worker.hand_chosen_at != changes;
  if (!IsHandUsable(context, worker) || may_change) {
    worker.hand = Choose(context, worker);
    worker.hand_chosen_at = changes;
  }
}

/// How long the process that makes the call waits for its answer.
Duration TimeoutOf(const WorkerOrder& order) {
  const auto* look = std::get_if<PollWorker>(&order);
  return look == nullptr ? kOrderTimeout : look->wait + kPollTimeout;
}

RelayedCall Describe(const WorkerOrder& order) {
  RelayedCall call;
  std::visit(
      [&call](const auto& effect) {
        call.worker = effect.worker;
        call.fence = effect.fence;
      },
      order);
  if (const auto* start = std::get_if<StartRun>(&order)) {
    call.run = start->name;
  }
  if (const auto* stop = std::get_if<StopRun>(&order)) {
    call.run = stop->name;
    call.is_stop = true;
  }
  return call;
}

/// Takes the call out of those that are waited for.
std::optional<RelayedCall> Finish(Context& context, std::uint64_t number) {
  HandsState& state = StateOf(context);
  auto call = state.open.extract(number);
  if (call.empty()) {
    return std::nullopt;
  }
  state.by_time.erase({call.mapped().give_up_at, number});
  state.hands[call.mapped().hand.node].open.erase(number);
  return std::move(call.mapped());
}

WorkerPolled DescribeLook(const RelayedCall& call, OrderResult result) {
  WorkerPolled looked;
  looked.worker = call.worker;
  looked.fence = call.fence;
  looked.result = result;
  // The hand sent it later, so that what was certain before this point was
  // certain before the look.
  looked.sent_at = call.sent_at;
  return looked;
}

/// Ends a call of which no report will come.
void EndWithout(Context& context, const RelayedCall& call, OrderResult result) {
  if (call.run) {
    fleet::OnOrdered(context, RunOrdered{call.worker, call.fence, *call.run,
                                         call.is_stop, result});
    return;
  }
  fleet::OnHandLostPoll(context, DescribeLook(call, result));
}

bool MayPause(const Context& context) {
  const SubmissionsState& state = context.state.submissions;
  const auto& hands = state.fleet.hands.hands;
  const auto paused =
      std::count_if(hands.begin(), hands.end(), [&context](const auto& hand) {
        return context.now < hand.second.paused_until;
      });
  const std::size_t most = state.helpers.size() / kPausedDivisor;
  return static_cast<std::size_t>(paused) < std::max<std::size_t>(most, 1);
}

void Pause(Context& context, const NodeName& node, std::string_view reason) {
  HandsState& state = StateOf(context);
  Hand& hand = state.hands[node];
  if (context.now < hand.paused_until || !MayPause(context)) {
    return;
  }
  if (context.now >= hand.paused_until + kForgivenAfter) {
    hand.pauses = 0;
  }
  const Duration time =
      kFirstPause * (1U << std::min(hand.pauses, kMaxDoublings));
  ++hand.pauses;
  ++state.changes;
  hand.paused_until = context.now + time;
  state.pause_ends =
      std::min(state.pause_ends.value_or(hand.paused_until), hand.paused_until);
  context.Count(Metric::kHandsPaused, reason);
  context.Log(LogLevel::kWarning, kPart, "A process makes no calls for now.",
              {{"hand", node.value},
               {"reason", reason},
               {"open_calls", hand.open.size()},
               {"for_ms", time}});
}

/// Those whose pause has ended can be chosen again.
void EndPauses(Context& context) {
  HandsState& state = StateOf(context);
  if (!state.pause_ends || context.now < *state.pause_ends) {
    return;
  }
  ++state.changes;
  state.pause_ends.reset();
  for (const auto& [node, hand] : state.hands) {
    if (context.now < hand.paused_until) {
      state.pause_ends = std::min(state.pause_ends.value_or(hand.paused_until),
                                  hand.paused_until);
    }
  }
}

/// None of the hand's calls is waited for any longer.
void LoseCalls(Context& context, const NodeName& node) {
  const std::set<std::uint64_t> open = StateOf(context).hands[node].open;
  for (const std::uint64_t number : open) {
    if (const auto call = Finish(context, number)) {
      EndWithout(context, *call, OrderResult::kUnknown);
    }
  }
}

/// How long the report was on its way, besides the time of the call itself.
void CheckWay(Context& context, const RelayedCall& call,
              const HandReport& report) {
  const Duration way = context.now - call.sent_at - report.took;
  if (way > kSlowWay + own_load::RecentDelay(context)) {
    Pause(context, call.hand.node, "slow");
  }
}

void Take(Context& context, const HandReport& report) {
  const std::optional<RelayedCall> call = Finish(context, report.number);
  if (!call) {
    return;
  }
  CheckWay(context, *call, report);
  if (FleetWorker* worker = fleet::Find(context, call->worker)) {
    if (report.result != OrderResult::kUnknown) {
      worker->lost_through.clear();
    } else if (worker->lost_through.size() < kMaxLostThrough) {
      worker->lost_through.insert(call->hand.node);
    }
  }
  if (call->run) {
    fleet::OnOrdered(context, RunOrdered{call->worker, call->fence, *call->run,
                                         call->is_stop, report.result});
    return;
  }
  WorkerPolled looked = DescribeLook(*call, report.result);
  looked.clock = report.clock;
  looked.incarnation = report.incarnation;
  looked.running = report.running;
  looked.ended = report.ended;
  fleet::OnPolled(context, looked);
}

}  // namespace

void Send(Context& context, FleetWorker& worker, WorkerOrder order) {
  UpdateHand(context, worker);
  if (!worker.hand) {
    std::visit([&context](auto& effect) { context.Emit(std::move(effect)); },
               order);
    return;
  }
  HandsState& state = StateOf(context);
  const std::uint64_t number = NextNumber(context);
  std::visit([number](auto& effect) { effect.number = number; }, order);
  RelayedCall call = Describe(order);
  call.hand = *worker.hand;
  call.sent_at = context.now;
  call.give_up_at = context.now + TimeoutOf(order) + kWayMargin;
  state.by_time.emplace(call.give_up_at, number);
  state.hands[call.hand.node].open.insert(number);
  HandOrders& outgoing = state.outgoing[call.hand.node];
  outgoing.epoch = context.state.submissions.leadership.epoch;
  outgoing.orders.push_back(std::move(order));
  state.open.emplace(number, std::move(call));
}

void Flush(Context& context) {
  for (auto& [node, orders] : std::exchange(StateOf(context).outgoing, {})) {
    context.Emit(SendToPeer{node, std::move(orders)});
  }
}

Duration TimeOfWay(const Context& context) {
  const bool has_calls = !context.state.submissions.fleet.hands.open.empty();
  return has_calls ? kPollTimeout : Duration::zero();
}

void OnReports(Context& context, const ProcessId& from,
               const HandReports& message) {
  const LeadershipState& leadership = context.state.submissions.leadership;
  if (message.epoch != leadership.epoch) {
    return;
  }
  const auto helper = context.state.submissions.helpers.find(from.node);
  if (helper != context.state.submissions.helpers.end() &&
      helper->second.process == from) {
    helper->second.heard_at = context.now;
  }
  for (const HandReport& report : message.reports) {
    Take(context, report);
  }
}

void OnMessageNotSent(Context& context, const PeerMessageNotSent& event) {
  const auto* message = std::get_if<HandOrders>(&event.message);
  const bool is_mine =
      message != nullptr &&
      message->epoch == context.state.submissions.leadership.epoch;
  if (!is_mine) {
    return;
  }
  Pause(context, event.peer, "not connected");
  for (const WorkerOrder& order : message->orders) {
    const std::uint64_t number =
        std::visit([](const auto& effect) { return effect.number; }, order);
    if (const auto call = Finish(context, number)) {
      EndWithout(context, *call, OrderResult::kNotSent);
    }
  }
}

void OnHelper(Context& context, Helper& helper, const HelperReport& report) {
  const bool was_silent = context.now >= helper.heard_at + kReportTimeout;
  const bool has_changed = was_silent ||
                           helper.carries_calls != report.carries_calls ||
                           helper.zone != report.zone;
  helper.zone = report.zone;
  helper.carries_calls = report.carries_calls;
  StateOf(context).changes += has_changed ? 1 : 0;
}

void OnLinked(Context& context) { ++StateOf(context).changes; }

void OnHelperGone(Context& context, const NodeName& node) {
  ++StateOf(context).changes;
  LoseCalls(context, node);
}

void OnTimer(Context& context) {
  EndPauses(context);
  HandsState& state = StateOf(context);
  // What this process itself has not come to yet is no fault of the hand's.
  const TimePoint before = own_load::CaughtUpTo(context);
  while (!state.by_time.empty() && state.by_time.begin()->first <= before) {
    const RelayedCall call = *Finish(context, state.by_time.begin()->second);
    EndWithout(context, call, OrderResult::kUnknown);
    Pause(context, call.hand.node, "lost a call");
    if (IsPaused(context, call.hand.node)) {
      LoseCalls(context, call.hand.node);
    }
  }
}

}  // namespace basilspread::internal::hands
