#include "internal/relays.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "basilspread/core/random.h"
#include "internal/fleet.h"
#include "internal/leadership.h"
#include "internal/other_runs.h"
#include "internal/own_load.h"

namespace basilspread::internal::relays {
namespace {

constexpr std::string_view kPart = "hands";
/// Added to a call's own time-out for the round trip to the relay: some forty
/// times the round trip between two zones.
constexpr Duration kTransitMargin = std::chrono::milliseconds(200);
/// A relay is slow if the round trip takes longer than this, not counting the
/// call itself.
constexpr Duration kSlowTransit = std::chrono::milliseconds(150);
/// A relay that was slow or lost a call gets no calls for this long; doubles
/// with each further fault.
constexpr Duration kFirstPause = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 3;
/// This long after the end of a pause without another fault, pauses start at
/// kFirstPause again.
constexpr Duration kPauseResetAfter = std::chrono::seconds(30);
/// At most one in this many of the helpers may be paused at once: if more are
/// slow, the cause is more likely this process or its link.
constexpr std::size_t kPausedDivisor = 4;
/// Helpers report every second; one that has been silent for longer than this
/// is not used as a relay.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2500);
/// If calls to a worker were lost through this many relays since its last
/// answer, the fault is attributed to the worker.
constexpr std::size_t kMaxLossyRelays = 2;

/// Part of the smallest host's processor that its callers are taken to need.
constexpr double kCallerShare = 0.5;

RelaysState& StateOf(Context& context) {
  return context.state.submissions.fleet.relays;
}

/// Returns the number of a new call. Numbers contain the epoch, so that a
/// report to an earlier leader is not taken for one of this leader's calls.
std::uint64_t NextNumber(Context& context) {
  constexpr unsigned kEpochShift = 32;
  const std::uint64_t epoch = context.state.submissions.leadership.epoch.value;
  return (epoch << kEpochShift) + ++StateOf(context).last_number;
}

bool IsPaused(const Context& context, const NodeName& node) {
  const auto& relays = context.state.submissions.fleet.relays.relays;
  const auto relay = relays.find(node);
  return relay != relays.end() && context.now < relay->second.paused_until;
}

bool IsUsable(const Context& context, const Helper& helper) {
  return helper.carries_calls &&
         helper.process != context.state.settings.self &&
         context.now < helper.heard_at + kReportTimeout &&
         context.state.submissions.leadership.linked_peers.contains(
             helper.process.node) &&
         !IsPaused(context, helper.process.node);
}

/// Maps a hash to the open interval from 0 to 1.
double ToUnitInterval(std::uint64_t hash) {
  constexpr unsigned kMantissaBits = 53;
  constexpr unsigned kDroppedBits = 64 - kMantissaBits;
  return (static_cast<double>(hash >> kDroppedBits) + 0.5) /
         static_cast<double>(std::uint64_t{1} << kMantissaBits);
}

bool WasLostThrough(const FleetWorker& worker, const NodeName& node) {
  return worker.lost_through.size() < kMaxLossyRelays &&
         worker.lost_through.contains(node);
}

/// Smallest processor share of the helpers that state one; 0 if none does.
double SmallestShare(const Context& context) {
  double smallest = 0;
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    const double share = helper.capacity.processor_share;
    if (share > 0 && (smallest == 0 || share < smallest)) {
      smallest = share;
    }
  }
  return smallest;
}

/// Relative number of workers that the helper can serve. Callers connect to all
/// processes alike, so that each needs about the same for them, and a small
/// host has less left for calls to workers.
double WeightOf(const Helper& helper, double smallest_share) {
  const double share = helper.capacity.processor_share;
  return share > 0 ? share - smallest_share * kCallerShare : 1;
}

/// Returns the usable helper that ranks highest for the worker; unset if there
/// is none. The loss of a relay reassigns only its own workers. Algorithm:
/// weighted rendezvous hashing (Schindelhauer and Schomaker, 2005).
std::optional<ProcessId> ChooseRelay(Context& context,
                                     const FleetWorker& worker) {
  std::optional<ProcessId> best;
  std::pair<bool, double> best_rank;
  const double smallest_share = SmallestShare(context);
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    if (!IsUsable(context, helper) || WasLostThrough(worker, node)) {
      continue;
    }
    // Prefer the worker's own zone: calls within a zone are cheap.
    const std::uint64_t hash =
        StableHash(node.value + "|" + worker.entry.name.value);
    const std::pair<bool, double> rank{
        helper.zone == worker.entry.zone,
        WeightOf(helper, smallest_share) / -std::log(ToUnitInterval(hash))};
    if (!best || rank > best_rank) {
      best = helper.process;
      best_rank = rank;
    }
  }
  return best;
}

bool IsRelayUsable(const Context& context, const FleetWorker& worker) {
  if (!worker.relay || WasLostThrough(worker, worker.relay->node)) {
    return false;
  }
  const auto& helpers = context.state.submissions.helpers;
  const auto helper = helpers.find(worker.relay->node);
  return helper != helpers.end() && helper->second.process == *worker.relay &&
         IsUsable(context, helper->second);
}

/// A worker keeps its relay, which has open connections to it. While the worker
/// has no runs and no open polls, it may be reassigned to a relay that has
/// become usable meanwhile, so that the workers stay evenly spread.
void UpdateRelay(Context& context, FleetWorker& worker) {
  const std::uint64_t changes = StateOf(context).changes;
  const bool is_idle = worker.runs.empty() && worker.polls == 0;
  const bool may_change = is_idle && worker.relay_chosen_at != changes;
  if (!IsRelayUsable(context, worker) || may_change) {
    worker.relay = ChooseRelay(context, worker);
    worker.relay_chosen_at = changes;
  }
}

/// Time-out that the process making the call applies to it.
Duration TimeoutOf(const WorkerOrder& order) {
  const auto* poll = std::get_if<PollWorker>(&order);
  return poll == nullptr ? kOrderTimeout : poll->wait + kPollTimeout;
}

RelayedCall MakeRelayedCall(const WorkerOrder& order) {
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

/// Removes a call from the open calls and returns it; unset if it is not open.
std::optional<RelayedCall> TakeOpenCall(Context& context,
                                        std::uint64_t number) {
  RelaysState& state = StateOf(context);
  auto call = state.open.extract(number);
  if (call.empty()) {
    return std::nullopt;
  }
  state.by_time.erase({call.mapped().give_up_at, number});
  state.relays[call.mapped().relay.node].open.erase(number);
  return std::move(call.mapped());
}

WorkerPolled MakePollResult(const RelayedCall& call, OrderResult result) {
  WorkerPolled polled;
  polled.worker = call.worker;
  polled.fence = call.fence;
  polled.result = result;
  // The relay sent the poll later than this, so what was certain before this
  // time was also certain before the poll.
  polled.sent_at = call.sent_at;
  return polled;
}

/// Ends a call for which no report will arrive.
void FinishWithoutReport(Context& context, const RelayedCall& call,
                         OrderResult result) {
  if (call.run) {
    fleet::OnOrdered(context, RunOrdered{call.worker, call.fence, *call.run,
                                         call.is_stop, result});
    return;
  }
  fleet::OnRelayLostPoll(context, MakePollResult(call, result));
}

bool MayPause(const Context& context) {
  const SubmissionsState& state = context.state.submissions;
  const auto& relays = state.fleet.relays.relays;
  const auto paused = std::count_if(
      relays.begin(), relays.end(), [&context](const auto& relay) {
        return context.now < relay.second.paused_until;
      });
  const std::size_t limit = state.helpers.size() / kPausedDivisor;
  return static_cast<std::size_t>(paused) < std::max<std::size_t>(limit, 1);
}

void Pause(Context& context, const NodeName& node, std::string_view reason) {
  RelaysState& state = StateOf(context);
  RelayPeer& relay = state.relays[node];
  if (context.now < relay.paused_until || !MayPause(context)) {
    return;
  }
  if (context.now >= relay.paused_until + kPauseResetAfter) {
    relay.pauses = 0;
  }
  const Duration time =
      kFirstPause * (1U << std::min(relay.pauses, kMaxDoublings));
  ++relay.pauses;
  ++state.changes;
  relay.paused_until = context.now + time;
  state.pause_ends = std::min(state.pause_ends.value_or(relay.paused_until),
                              relay.paused_until);
  context.Count(Metric::kRelaysPaused, reason);
  context.Log(LogLevel::kWarning, kPart,
              "Paused a relay: it gets no calls until the pause ends.",
              {{"hand", node.value},
               {"reason", reason},
               {"open_calls", relay.open.size()},
               {"for_ms", time}});
}

/// Makes relays whose pause has ended available again.
void EndPauses(Context& context) {
  RelaysState& state = StateOf(context);
  if (!state.pause_ends || context.now < *state.pause_ends) {
    return;
  }
  ++state.changes;
  state.pause_ends.reset();
  for (const auto& [node, relay] : state.relays) {
    if (context.now < relay.paused_until) {
      state.pause_ends = std::min(state.pause_ends.value_or(relay.paused_until),
                                  relay.paused_until);
    }
  }
}

/// Gives up all open calls of a relay; their outcome is unknown.
void AbandonCalls(Context& context, const NodeName& node) {
  const std::set<std::uint64_t> open = StateOf(context).relays[node].open;
  for (const std::uint64_t number : open) {
    if (const auto call = TakeOpenCall(context, number)) {
      FinishWithoutReport(context, *call, OrderResult::kUnknown);
    }
  }
}

/// Pauses the relay if the round trip, without the call itself, was too slow.
void CheckTransit(Context& context, const RelayedCall& call,
                  const RelayReport& report) {
  const Duration transit = context.now - call.sent_at - report.took;
  if (transit > kSlowTransit + own_load::RecentDelay(context)) {
    Pause(context, call.relay.node, "slow");
  }
}

void HandleReport(Context& context, const RelayReport& report) {
  const std::optional<RelayedCall> call = TakeOpenCall(context, report.number);
  if (!call) {
    return;
  }
  CheckTransit(context, *call, report);
  if (FleetWorker* worker = fleet::Find(context, call->worker)) {
    if (report.result != OrderResult::kUnknown) {
      worker->lost_through.clear();
    } else if (worker->lost_through.size() < kMaxLossyRelays) {
      worker->lost_through.insert(call->relay.node);
    }
  }
  if (call->run) {
    RunOrdered ordered{call->worker, call->fence, *call->run, call->is_stop,
                       report.result};
    ordered.clock = report.clock;
    fleet::OnOrdered(context, ordered);
    return;
  }
  WorkerPolled polled = MakePollResult(*call, report.result);
  polled.clock = report.clock;
  polled.incarnation = report.incarnation;
  polled.running = report.running;
  polled.ended = report.ended;
  polled.may_have_more_ends = report.may_have_more_ends;
  fleet::OnPolled(context, polled);
}

}  // namespace

void Send(Context& context, FleetWorker& worker, WorkerOrder order) {
  UpdateRelay(context, worker);
  if (!worker.relay) {
    std::visit([&context](auto& effect) { context.Emit(std::move(effect)); },
               order);
    return;
  }
  RelaysState& state = StateOf(context);
  const std::uint64_t number = NextNumber(context);
  std::visit([number](auto& effect) { effect.number = number; }, order);
  RelayedCall call = MakeRelayedCall(order);
  call.relay = *worker.relay;
  call.sent_at = context.now;
  call.give_up_at = context.now + TimeoutOf(order) + kTransitMargin;
  state.by_time.emplace(call.give_up_at, number);
  state.relays[call.relay.node].open.insert(number);
  RelayOrders& outgoing = state.outgoing[call.relay];
  outgoing.epoch = context.state.submissions.leadership.epoch;
  outgoing.orders.push_back(std::move(order));
  state.open.emplace(number, std::move(call));
}

void Flush(Context& context) {
  for (auto& [relay, orders] : std::exchange(StateOf(context).outgoing, {})) {
    other_runs::Send(context, relay, std::move(orders));
  }
}

Duration MaxExtraCallTime(const Context& context) {
  const bool has_calls = !context.state.submissions.fleet.relays.open.empty();
  return has_calls ? kPollTimeout : Duration::zero();
}

void OnReports(Context& context, const ProcessId& from,
               const RelayReports& message) {
  const LeadershipState& leadership = context.state.submissions.leadership;
  if (message.epoch != leadership.epoch) {
    return;
  }
  const auto helper = context.state.submissions.helpers.find(from.node);
  if (helper != context.state.submissions.helpers.end() &&
      helper->second.process == from) {
    helper->second.heard_at = context.now;
  }
  for (const RelayReport& report : message.reports) {
    HandleReport(context, report);
  }
}

void OnMessageNotSent(Context& context, const PeerMessageNotSent& event) {
  const auto* message = std::get_if<RelayOrders>(&event.message);
  const bool is_own_order =
      message != nullptr &&
      message->epoch == context.state.submissions.leadership.epoch;
  if (!is_own_order) {
    return;
  }
  Pause(context, event.peer, "not connected");
  for (const WorkerOrder& order : message->orders) {
    const std::uint64_t number =
        std::visit([](const auto& effect) { return effect.number; }, order);
    if (const auto call = TakeOpenCall(context, number)) {
      FinishWithoutReport(context, *call, OrderResult::kNotSent);
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
  AbandonCalls(context, node);
}

void OnTimer(Context& context) {
  EndPauses(context);
  RelaysState& state = StateOf(context);
  // A report may still be in this process's own queue; the relay is not blamed
  // for that.
  const TimePoint before = own_load::CaughtUpTo(context);
  while (!state.by_time.empty() && state.by_time.begin()->first <= before) {
    const RelayedCall call =
        *TakeOpenCall(context, state.by_time.begin()->second);
    FinishWithoutReport(context, call, OrderResult::kUnknown);
    Pause(context, call.relay.node, "lost a call");
    if (IsPaused(context, call.relay.node)) {
      AbandonCalls(context, call.relay.node);
    }
  }
}

}  // namespace basilspread::internal::relays
