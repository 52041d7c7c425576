#include "internal/fleet_polls.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "internal/fleet.h"
#include "internal/fleet_attribution.h"
#include "internal/leadership_proof.h"
#include "internal/long_running.h"
#include "internal/relays.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"
#include "internal/work_log.h"
#include "takeover_wait/inherited_work.h"
#include "takeover_wait/worker_records.h"

namespace basilspread::internal::fleet::polls {
namespace {

constexpr std::string_view kPart = "fleet";
/// Number of fences in an epoch. Workers accept integers up to 2^53, which
/// leaves 2^33 epochs.
constexpr std::uint64_t kFencesPerEpoch = std::uint64_t{1} << 20U;
/// Wait of a long poll for an end: a third of the shortest lease, so that two
/// consecutive lost polls let no lease lapse.
constexpr Duration kPollWait = std::chrono::milliseconds(1500);
/// Wait of a long poll while polls are being lost. A lost answer delays the
/// ends in it until the poll times out, and the most urgent work has to be done
/// within 1.3 s. At other times such short waits would only cost calls.
constexpr Duration kShortPollWait = std::chrono::milliseconds(250);
/// How long the short wait stays in use after a lost poll.
constexpr Duration kShortPollPeriod = std::chrono::seconds(5);
/// Delay of the next poll after one that delivered ends, so that ends in quick
/// succession share a poll.
constexpr Duration kPollSpacing = std::chrono::milliseconds(25);
/// Delay of the next poll of a worker that does not answer.
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
/// While inherited tasks wait for a worker, a poll without an answer is
/// repeated after this, with up to kMaxInitialPolls in flight.
constexpr Duration kFirstPollRepeat = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxInitialPolls = 4;
/// A worker without runs learns within this that its ends are stored.
constexpr Duration kAcknowledgeDelay = std::chrono::milliseconds(400);
/// Interval of the polls of an idle worker, so that the reading of its clock
/// allows a lease of several seconds.
constexpr Duration kIdlePollInterval = std::chrono::seconds(60);
/// Maximum number of polls in flight: one long poll and one without a wait.
constexpr std::uint32_t kMaxPolls = 2;
/// Number of fences of an epoch that are left when the leader begins a new one.
constexpr std::uint64_t kReservedFences = 1024;
/// Added to every wait for a lease to lapse: the time to kill a run.
constexpr Duration kLapseMargin = std::chrono::milliseconds(500);

void Schedule(Context& context, FleetWorker& worker, TimePoint at) {
  if (!worker.next_poll || at < *worker.next_poll) {
    worker.next_poll = at;
    UpdateDueTime(context, worker);
  }
}

/// Whether inherited tasks wait until the worker is reconciled.
bool IsAwaited(const Context& context, const FleetWorker& worker) {
  const auto& inherited_end =
      context.state.submissions.fleet.inherited_leases_end;
  return !worker.is_reconciled && !worker.has_known_runs &&
         (context.state.submissions.leadership.phase ==
              LeaderPhase::kReconciling ||
          (inherited_end && context.now < *inherited_end));
}

void Poll(Context& context, FleetWorker& worker, Duration wait) {
  PollWorker poll;
  poll.worker = worker.entry.name;
  poll.address = worker.entry.address;
  poll.fence = FenceOf(context, worker);
  poll.acknowledged = attribution::AcknowledgedEnd(worker);
  const bool renews = !worker.is_silent && attribution::MayRenew(worker);
  poll.lease_until = renews ? NextLease(context, worker) : WorkerTime::zero();
  poll.wait = wait;
  attribution::OnPollSent(worker, poll);
  worker.next_poll.reset();
  relays::Send(context, worker, std::move(poll));
  ++worker.polls;
  UpdateDueTime(context, worker);
  if (IsAwaited(context, worker)) {
    Schedule(context, worker, context.now + kFirstPollRepeat);
  }
}

void UpdateClock(Context& context, FleetWorker& worker,
                 const WorkerPolled& event) {
  worker.clock = event.clock;
  worker.clock_read_at = context.now;
}

void ApplyEnds(Context& context, FleetWorker& worker,
               const WorkerPolled& event) {
  for (const ListedEnd& end : event.ended) {
    if (end.number <= worker.seen_end) {
      continue;
    }
    worker.seen_end = end.number;
    Release(context, worker, end.name);
    context.state.submissions.fleet.with_unstored_ends.insert(
        worker.entry.name);
    submission_progress::OnEnded(context, worker, end);
  }
}

void ApplyRunning(Context& context, FleetWorker& worker,
                  const WorkerPolled& event) {
  for (const ListedRun& run : event.running) {
    submission_progress::OnListed(context, worker, run);
  }
}

/// Reports runs as lost that the worker would list if they existed.
void ApplyMissing(Context& context, FleetWorker& worker,
                  const WorkerPolled& event) {
  if (event.may_have_more_ends) {
    // The runs may have ended; their ends follow once the listed ones are
    // acknowledged.
    return;
  }
  std::vector<RunName> missing;
  for (const auto& [name, demand] : worker.runs) {
    const bool is_listed = std::any_of(
        event.running.begin(), event.running.end(),
        [&name = name](const ListedRun& run) { return run.name == name; });
    if (!is_listed && submission_progress::MustBeListed(context, name, event)) {
      missing.push_back(name);
    }
  }
  for (const RunName& name : missing) {
    context.Log(LogLevel::kInfo, kPart,
                "Worker does not list a run; the run is lost.",
                {{"run", ToString(name)}, {"worker", worker.entry.name.value}});
    context.Count(Metric::kRunsLost, "not on its worker");
    Release(context, worker, name);
    submission_progress::OnLost(context, worker, name);
  }
}

Duration CurrentPollWait(Context& context, const FleetWorker& worker) {
  const auto& lost_at = context.state.submissions.fleet.poll_lost_at;
  const bool lost_lately = lost_at && context.now < *lost_at + kShortPollPeriod;
  // The end of a startup is not an end of a run, so that a poll does not return
  // for it.
  return lost_lately || long_running::HasStartup(context, worker)
             ? kShortPollWait
             : kPollWait;
}

}  // namespace

std::uint64_t FenceOf(const Context& context, const FleetWorker& worker) {
  return context.state.submissions.leadership.epoch.value * kFencesPerEpoch +
         worker.fence_step;
}

Epoch EpochOf(std::uint64_t fence) { return Epoch{fence / kFencesPerEpoch}; }

void RaiseFence(FleetWorker& worker) {
  ++worker.fence_step;
  attribution::OnFenceRaised(worker);
}

bool AreFencesUsedUp(const FleetWorker& worker) {
  return worker.fence_step + kReservedFences >= kFencesPerEpoch;
}

Duration LongestLease(const Context& context) {
  const Duration lease = context.state.settings.store.max_lease;
  return lease + lease / kClockDriftDivisor + kLapseMargin;
}

WorkerTime NextLease(Context& context, FleetWorker& worker) {
  const std::optional<TimePoint> proven_at =
      leadership_proof::ProvenAt(context);
  const Duration lease = context.state.settings.store.max_lease;
  if (!worker.clock_read_at || !proven_at ||
      context.now >= *proven_at + lease) {
    return WorkerTime::zero();
  }
  const TimePoint leased_until = *proven_at + LongestLease(context);
  worker.leased_until =
      std::max(worker.leased_until.value_or(leased_until), leased_until);
  // The reading of a worker that was idle may be old and its clock slow.
  const Duration since_read = *proven_at - *worker.clock_read_at;
  const Duration drift =
      std::max(since_read, Duration::zero()) / kClockDriftDivisor;
  return std::max(worker.clock + since_read - drift + lease,
                  WorkerTime::zero());
}

void StartPolling(Context& context, FleetWorker& worker) {
  if (worker.polls == 0) {
    Schedule(context, worker, context.now);
  }
}

void PollNow(Context& context, FleetWorker& worker) {
  if (worker.polls < kMaxPolls) {
    Poll(context, worker, Duration::zero());
  } else {
    Schedule(context, worker, context.now + kPollSpacing);
  }
}

void PollIfDue(Context& context, FleetWorker& worker) {
  if (!worker.next_poll || context.now < *worker.next_poll) {
    return;
  }
  worker.next_poll.reset();
  if (!worker.is_reconciled) {
    const std::uint32_t most =
        IsAwaited(context, worker) ? kMaxInitialPolls : kMaxPolls;
    if (worker.polls < most) {
      Poll(context, worker, Duration::zero());
    }
  } else if (worker.polls == 0) {
    const bool has_runs = !worker.runs.empty();
    Poll(context, worker,
         has_runs ? CurrentPollWait(context, worker) : Duration::zero());
  }
}

void UpdateDueTime(Context& context, FleetWorker& worker) {
  FleetState& fleet = context.state.submissions.fleet;
  std::optional<TimePoint> due_at;
  for (const auto& at :
       {worker.next_poll, worker.next_stop, RemovalTime(context, worker)}) {
    due_at = at && (!due_at || *at < *due_at) ? at : due_at;
  }
  if (due_at == worker.due_at) {
    return;
  }
  if (worker.due_at) {
    fleet.due.erase({*worker.due_at, worker.entry.name});
  }
  worker.due_at = due_at;
  if (due_at) {
    fleet.due.emplace(*due_at, worker.entry.name);
    ArmTimer(context);
  }
}

std::vector<HostName> TakeDue(Context& context) {
  FleetState& fleet = context.state.submissions.fleet;
  std::vector<HostName> names;
  while (!fleet.due.empty() && fleet.due.begin()->first <= context.now) {
    names.push_back(fleet.due.begin()->second);
    fleet.workers.at(names.back()).due_at.reset();
    fleet.due.erase(fleet.due.begin());
    ++fleet.workers_visited;
  }
  return names;
}

void ArmTimer(Context& context) {
  FleetState& fleet = context.state.submissions.fleet;
  if (fleet.due.empty()) {
    return;
  }
  const TimePoint next = fleet.due.begin()->first;
  if (!fleet.timer_at || next < *fleet.timer_at) {
    fleet.timer_at = next;
    context.Emit(SetTimer{TimerKind::kFleet, next});
  }
}

void SetReconciled(Context& context, FleetWorker& worker, bool is_reconciled) {
  worker.is_reconciled = is_reconciled;
  worker.has_known_runs = worker.has_known_runs && !is_reconciled;
  if (is_reconciled) {
    context.state.submissions.fleet.with_unread_ends.erase(worker.entry.name);
  }
  std::set<HostName>& unanswered = context.state.submissions.fleet.unanswered;
  if (is_reconciled || worker.has_known_runs) {
    unanswered.erase(worker.entry.name);
  } else {
    unanswered.insert(worker.entry.name);
  }
  if (is_reconciled) {
    takeover_wait::OnAnswered(context, worker);
  }
  takeover_wait::OnWorkersChanged(context);
}

void ForgetEnds(Context& context, FleetWorker& worker) {
  worker.seen_end = 0;
  worker.stored_end = 0;
  worker.acknowledged_end = 0;
  worker.alive_at.reset();
  worker.may_have_more_ends = false;
  context.state.submissions.fleet.with_unread_ends.erase(worker.entry.name);
  // The append in flight holds ends of the former life, whose numbers would
  // cover those of the new one.
  context.state.submissions.log.in_flight_ends.erase(worker.entry.name);
  context.state.submissions.fleet.with_unstored_ends.erase(worker.entry.name);
}

std::optional<TimePoint> RemovalTime(const Context& context,
                                     const FleetWorker& worker) {
  if (!worker.unlisted) {
    return std::nullopt;
  }
  // A start without an answer stays in `runs` until a poll shows its outcome.
  const bool is_empty = worker.is_reconciled && worker.runs.empty();
  if (is_empty || !worker.leased_until ||
      leadership_proof::HaveLapsed(context, *worker.leased_until)) {
    return context.now;
  }
  return std::max(*worker.leased_until, context.now + kRetryDelay);
}

void ApplyPoll(Context& context, FleetWorker& worker,
               const WorkerPolled& event) {
  const bool is_current = event.fence == FenceOf(context, worker);
  UpdateClock(context, worker, event);
  attribution::OnPollAnswered(worker, event);
  if (worker.is_silent) {
    context.Log(LogLevel::kInfo, kPart, "Worker answers again.",
                {{"worker", worker.entry.name.value},
                 {"runs", worker.runs.size()},
                 {"fence", event.fence}});
  }
  const bool was_usable = worker.is_reconciled && !worker.is_silent;
  if (std::exchange(worker.is_silent, false)) {
    UpdateClosure(context, worker);
  }
  worker.lost_poll_excused = false;
  // An incomplete list does not tell which inherited tasks have succeeded.
  worker.may_have_more_ends = event.may_have_more_ends;
  SetReconciled(
      context, worker,
      worker.is_reconciled || (is_current && !event.may_have_more_ends));
  if (event.may_have_more_ends && !worker.is_reconciled) {
    context.state.submissions.fleet.with_unread_ends.insert(worker.entry.name);
  }
  if (worker.is_reconciled && worker.leased_until) {
    // No other leader can extend a lease any more.
    worker.leased_until =
        std::min(*worker.leased_until, context.now + LongestLease(context));
  }
  ApplyEnds(context, worker, event);
  ApplyRunning(context, worker, event);
  ApplyMissing(context, worker, event);
  if (!worker.runs.empty()) {
    Schedule(context, worker,
             event.ended.empty() ? context.now : context.now + kPollSpacing);
  } else if (attribution::HasUnacknowledgedEnds(worker) ||
             worker.seen_end > worker.stored_end) {
    Schedule(context, worker, context.now + kAcknowledgeDelay);
  } else {
    Schedule(context, worker, context.now + kIdlePollInterval);
  }
  if (!was_usable) {
    step_placement::OnCapacityFreed(context, worker);
  }
  UpdateDueTime(context, worker);
}

void OnPollFailed(Context& context, FleetWorker& worker,
                  const WorkerPolled& event) {
  attribution::OnPollLost(worker);
  if (!worker.is_silent) {
    context.Log(
        LogLevel::kWarning, kPart,
        "Poll of worker failed; it gets no new runs until one succeeds.",
        {{"worker", worker.entry.name.value},
         {"result", NameOf(event.result)},
         {"runs", worker.runs.size()},
         {"fence", event.fence}});
  }
  const Duration delay = worker.is_silent ? kRetryDelay : Duration::zero();
  const bool was_silent = std::exchange(worker.is_silent, true);
  if (!was_silent) {
    context.state.submissions.fleet.poll_lost_at = context.now;
    UpdateClosure(context, worker);
  }
  // Under an earlier fence the poll may have gone to the address of a former
  // life.
  if (event.result == OrderResult::kOtherIncarnation &&
      event.fence == FenceOf(context, worker)) {
    LoseRuns(context, worker, "another worker has its address");
    worker.leased_until.reset();
    SetReconciled(context, worker, false);
  }
  const bool has_lapsed =
      worker.leased_until &&
      leadership_proof::HaveLapsed(context, *worker.leased_until);
  if (has_lapsed) {
    LoseRuns(context, worker, "its leases have lapsed");
    worker.leased_until.reset();
    // Its record has no runs from now on, so that no later leader waits for it.
    work_log::RecordWorker(context, worker.entry.name);
  }
  // Nothing is started there until it answers, so that `runs` stays complete.
  worker.has_known_runs =
      worker.has_known_runs || worker.is_reconciled || has_lapsed;
  SetReconciled(context, worker,
                worker.is_reconciled && worker.leased_until.has_value());
  Schedule(context, worker, context.now + delay);
  UpdateDueTime(context, worker);
}

void LoseRuns(Context& context, FleetWorker& worker, std::string_view reason) {
  context.state.submissions.fleet.with_unread_ends.erase(worker.entry.name);
  const auto runs = worker.runs;
  for (const auto& [name, demand] : runs) {
    context.Log(LogLevel::kInfo, kPart,
                "Run is lost; its task may start again.",
                {{"run", ToString(name)},
                 {"worker", worker.entry.name.value},
                 {"reason", reason}});
    context.Count(Metric::kRunsLost, reason);
    Release(context, worker, name);
    submission_progress::OnLost(context, worker, name);
  }
}

}  // namespace basilspread::internal::fleet::polls
