#include "internal/fleet_attribution.h"

#include <algorithm>
#include <chrono>

#include "internal/fleet_polls.h"

namespace basilspread::internal::fleet::attribution {
namespace {

/// Workers state their clocks in whole milliseconds.
constexpr Duration kClockResolution = std::chrono::milliseconds(1);

/// Updates what the worker has discarded: it lists all other ends.
void UpdateAcknowledgedEnd(FleetWorker& worker, const WorkerPolled& event) {
  const std::uint64_t discarded =
      event.ended.empty() ? worker.stored_end : event.ended.front().number - 1;
  worker.acknowledged_end = std::min(worker.stored_end, discarded);
  if (worker.polls == 0 && !worker.may_have_lost_acknowledgement) {
    worker.has_open_acknowledgement = false;
  }
}

/// Removes the starts that the incarnation which answers the poll has carried
/// out or never will: those it lists, those that were answered before the poll
/// was sent, and those under a lower fence.
void AttributeStarts(FleetWorker& worker, const WorkerPolled& event) {
  worker.alive_at =
      std::max(worker.alive_at.value_or(event.sent_at), event.sent_at);
  if (worker.unattributed_starts.empty()) {
    return;
  }
  for (const ListedRun& run : event.running) {
    worker.unattributed_starts.erase(run.name);
  }
  for (const ListedEnd& end : event.ended) {
    worker.unattributed_starts.erase(end.name);
  }
  std::erase_if(worker.unattributed_starts, [&event](const auto& start) {
    const auto& [fence, answered_at] = start.second;
    return fence < event.fence || (answered_at && *answered_at < event.sent_at);
  });
}

/// Whether the clock in an answer is that of the incarnation that has answered
/// polls. A later one started after the latest of these polls was sent, and its
/// clock counts from there.
bool IsClockOfKnownIncarnation(const Context& context,
                               const FleetWorker& worker, WorkerTime clock) {
  const TimePoint valid_from =
      context.state.submissions.leadership.proof.valid_from;
  if (!worker.alive_at || *worker.alive_at < valid_from) {
    return false;
  }
  const Duration since = context.now - *worker.alive_at;
  return clock > since + since / polls::kClockDriftDivisor + kClockResolution;
}

}  // namespace

bool HasUnacknowledgedEnds(const FleetWorker& worker) {
  return worker.stored_end > worker.acknowledged_end;
}

std::uint64_t AcknowledgedEnd(const FleetWorker& worker) {
  // An incarnation that has started a run would discard its end by a number of
  // the one before it.
  return HasUnacknowledgedEnds(worker) && worker.unattributed_starts.empty()
             ? worker.stored_end
             : 0;
}

bool MayRenew(const FleetWorker& worker) {
  // A poll that the next incarnation carries out late would renew leases by a
  // clock that has begun anew.
  return worker.unattributed_starts.empty();
}

void BeforeStart(const Context& context, FleetWorker& worker,
                 const RunName& name) {
  // An acknowledgement that is carried out late, by the next incarnation, would
  // discard the end of this run there.
  if (worker.has_open_acknowledgement) {
    polls::RaiseFence(worker);
  }
  worker.unattributed_starts[name] = {polls::FenceOf(context, worker),
                                      std::nullopt};
}

void OnStartAnswered(const Context& context, FleetWorker& worker,
                     const RunOrdered& event) {
  const auto start = worker.unattributed_starts.find(event.name);
  if (start == worker.unattributed_starts.end()) {
    return;
  }
  if (IsClockOfKnownIncarnation(context, worker, event.clock)) {
    worker.unattributed_starts.erase(start);
  } else {
    start->second.answered_at = context.now;
  }
}

void OnPollSent(FleetWorker& worker, const PollWorker& poll) {
  worker.has_open_acknowledgement =
      worker.has_open_acknowledgement || poll.acknowledged > 0;
}

void OnPollAnswered(FleetWorker& worker, const WorkerPolled& event) {
  UpdateAcknowledgedEnd(worker, event);
  AttributeStarts(worker, event);
}

void OnPollLost(FleetWorker& worker) {
  worker.may_have_lost_acknowledgement = worker.has_open_acknowledgement;
}

void OnFenceRaised(FleetWorker& worker) {
  worker.has_open_acknowledgement = false;
  worker.may_have_lost_acknowledgement = false;
}

}  // namespace basilspread::internal::fleet::attribution
