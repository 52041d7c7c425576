#include "internal/fleet_polls.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "internal/fleet.h"
#include "internal/hands.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"

namespace basilspread::internal::fleet::polls {
namespace {

constexpr std::string_view kPart = "fleet";
/// Fences of one epoch; a worker takes whole numbers up to 2^53, which leaves
/// 2^33 epochs.
constexpr std::uint64_t kFencesPerEpoch = std::uint64_t{1} << 20U;
/// A look waits this long for an end: a third of the shortest lease, so that
/// two lost looks end no lease.
constexpr Duration kLookWait = std::chrono::milliseconds(1500);
/// A look whose answer is lost hides the ends behind it until it is given up.
/// While looks get lost they wait for a fraction of the 1.3 s in which the
/// most urgent work is to be done; at other times that would cost calls.
constexpr Duration kAlertLookWait = std::chrono::milliseconds(250);
/// How long looks stay short after one was lost.
constexpr Duration kAlertTime = std::chrono::seconds(5);
/// Ends that come close together share a look, which costs both sides a call.
constexpr Duration kLookSpacing = std::chrono::milliseconds(25);
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
/// While inherited tasks wait for a worker, a look without an answer is
/// repeated after this.
constexpr Duration kFirstLookRepeat = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxFirstPolls = 4;
/// A worker without runs is told within this that its ends are stored.
constexpr Duration kAcknowledgeDelay = std::chrono::milliseconds(400);
/// One look that waits, and one beside it that does not.
constexpr std::uint32_t kMaxPolls = 2;
/// The steady clock of a worker may be slow by one part in this many.
constexpr std::int64_t kClockDriftDivisor = 50;
/// Added to every wait for a lease to lapse: the time that a kill takes.
constexpr Duration kLapseMargin = std::chrono::milliseconds(500);

void Schedule(Context& context, FleetWorker& worker, TimePoint at) {
  if (!worker.next_poll || at < *worker.next_poll) {
    worker.next_poll = at;
    File(context, worker);
  }
}

/// Whether inherited tasks wait for the worker to be known.
bool IsAwaited(const Context& context, const FleetWorker& worker) {
  const auto& hold = context.state.submissions.fleet.inherited_leases_end;
  return !worker.is_reconciled &&
         (context.state.submissions.leadership.phase == LeaderPhase::kLooking ||
          (hold && context.now < *hold));
}

void Look(Context& context, FleetWorker& worker, Duration wait) {
  PollWorker look;
  look.worker = worker.entry.name;
  look.address = worker.entry.address;
  look.fence = FenceOf(context, worker);
  look.acknowledged = worker.stored_end;
  look.lease_until =
      worker.is_silent ? WorkerTime::zero() : NextLease(context, worker);
  look.wait = wait;
  worker.acknowledged_end =
      std::max(worker.acknowledged_end, worker.stored_end);
  worker.next_poll.reset();
  hands::Send(context, worker, std::move(look));
  ++worker.polls;
  File(context, worker);
  if (IsAwaited(context, worker)) {
    Schedule(context, worker, context.now + kFirstLookRepeat);
  }
}

void TakeClock(Context& context, FleetWorker& worker,
               const WorkerPolled& event) {
  worker.clock = event.clock;
  worker.clock_read_at = context.now;
}

void TakeEnds(Context& context, FleetWorker& worker,
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

void TakeRunning(Context& context, FleetWorker& worker,
                 const WorkerPolled& event) {
  for (const ListedRun& run : event.running) {
    submission_progress::OnListed(context, worker, run);
  }
}

/// Runs that must be listed if they exist, and are not.
void TakeMissing(Context& context, FleetWorker& worker,
                 const WorkerPolled& event) {
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
    context.Log(LogLevel::kInfo, kPart, "A run is not on its worker.",
                {{"run", ToString(name)}, {"worker", worker.entry.name.value}});
    context.Count(Metric::kRunsLost, "not on its worker");
    Release(context, worker, name);
    submission_progress::OnLost(context, name);
  }
}

Duration WaitForEnds(const Context& context) {
  const auto& lost_at = context.state.submissions.fleet.poll_lost_at;
  return lost_at && context.now < *lost_at + kAlertTime ? kAlertLookWait
                                                        : kLookWait;
}

bool HasSomethingToTell(const FleetWorker& worker) {
  return worker.stored_end > worker.acknowledged_end;
}

}  // namespace

std::uint64_t FenceOf(const Context& context, const FleetWorker& worker) {
  return context.state.submissions.leadership.epoch.value * kFencesPerEpoch +
         worker.fence_step;
}

Epoch EpochOf(std::uint64_t fence) { return Epoch{fence / kFencesPerEpoch}; }

Duration LongestLease(const Context& context) {
  const Duration lease = context.state.settings.store.max_lease;
  return lease + lease / kClockDriftDivisor + kLapseMargin;
}

WorkerTime NextLease(Context& context, FleetWorker& worker) {
  if (!worker.clock_read_at) {
    return WorkerTime::zero();
  }
  worker.leased_until = context.now + LongestLease(context);
  return worker.clock + (context.now - *worker.clock_read_at) +
         context.state.settings.store.max_lease;
}

void Watch(Context& context, FleetWorker& worker) {
  if (worker.polls == 0) {
    Schedule(context, worker, context.now);
  }
}

void PollNow(Context& context, FleetWorker& worker) {
  if (worker.polls < kMaxPolls) {
    Look(context, worker, Duration::zero());
  } else {
    Schedule(context, worker, context.now + kLookSpacing);
  }
}

void PollIfDue(Context& context, FleetWorker& worker) {
  if (!worker.next_poll || context.now < *worker.next_poll) {
    return;
  }
  worker.next_poll.reset();
  if (!worker.is_reconciled) {
    const std::uint32_t most =
        IsAwaited(context, worker) ? kMaxFirstPolls : kMaxPolls;
    if (worker.polls < most) {
      Look(context, worker, Duration::zero());
    }
  } else if (worker.polls == 0) {
    const bool has_runs = !worker.runs.empty();
    Look(context, worker, has_runs ? WaitForEnds(context) : Duration::zero());
  }
}

void File(Context& context, FleetWorker& worker) {
  FleetState& fleet = context.state.submissions.fleet;
  std::optional<TimePoint> due_at;
  for (const auto& at :
       {worker.next_poll, worker.next_stop, GoneAt(context, worker)}) {
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
  if (worker.is_reconciled != is_reconciled) {
    worker.is_reconciled = is_reconciled;
    std::size_t& unreconciled = context.state.submissions.fleet.unreconciled;
    unreconciled = is_reconciled ? unreconciled - 1 : unreconciled + 1;
  }
}

void ForgetEnds(Context& context, FleetWorker& worker) {
  worker.seen_end = 0;
  worker.stored_end = 0;
  worker.acknowledged_end = 0;
  context.state.submissions.fleet.with_unstored_ends.erase(worker.entry.name);
}

std::optional<TimePoint> GoneAt(const Context& context,
                                const FleetWorker& worker) {
  if (!worker.unlisted) {
    return std::nullopt;
  }
  // A start without an answer stays among the runs until a look settled it.
  const bool is_empty = worker.is_reconciled && worker.runs.empty();
  return is_empty ? context.now : worker.leased_until.value_or(context.now);
}

void Take(Context& context, FleetWorker& worker, const WorkerPolled& event) {
  const bool is_present = event.fence == FenceOf(context, worker);
  TakeClock(context, worker, event);
  if (worker.is_silent) {
    context.Log(LogLevel::kInfo, kPart, "A worker answers again.",
                {{"worker", worker.entry.name.value},
                 {"runs", worker.runs.size()},
                 {"fence", event.fence}});
  }
  const bool was_usable = worker.is_reconciled && !worker.is_silent;
  worker.is_silent = false;
  worker.lost_poll_excused = false;
  SetReconciled(context, worker, worker.is_reconciled || is_present);
  TakeEnds(context, worker, event);
  TakeRunning(context, worker, event);
  TakeMissing(context, worker, event);
  if (!worker.runs.empty()) {
    Schedule(context, worker,
             event.ended.empty() ? context.now : context.now + kLookSpacing);
  } else if (HasSomethingToTell(worker) ||
             worker.seen_end > worker.stored_end) {
    Schedule(context, worker, context.now + kAcknowledgeDelay);
  }
  if (!was_usable) {
    step_placement::OnRoom(context, worker);
  }
  File(context, worker);
}

void OnFailed(Context& context, FleetWorker& worker,
              const WorkerPolled& event) {
  if (!worker.is_silent) {
    context.Log(LogLevel::kWarning, kPart, "A worker does not answer.",
                {{"worker", worker.entry.name.value},
                 {"result", NameOf(event.result)},
                 {"runs", worker.runs.size()},
                 {"fence", event.fence}});
  }
  const Duration delay = worker.is_silent ? kRetryDelay : Duration::zero();
  if (!worker.is_silent) {
    context.state.submissions.fleet.poll_lost_at = context.now;
  }
  worker.is_silent = true;
  if (event.result == OrderResult::kOtherIncarnation) {
    LoseRuns(context, worker, "another worker has its address");
    worker.leased_until.reset();
    SetReconciled(context, worker, false);
  }
  const bool has_lapsed =
      worker.leased_until && context.now >= *worker.leased_until;
  if (has_lapsed) {
    LoseRuns(context, worker, "its leases have lapsed");
    worker.leased_until.reset();
  }
  SetReconciled(context, worker,
                worker.is_reconciled && worker.leased_until.has_value());
  Schedule(context, worker, context.now + delay);
  File(context, worker);
}

void LoseRuns(Context& context, FleetWorker& worker, std::string_view reason) {
  const auto runs = worker.runs;
  for (const auto& [name, demand] : runs) {
    context.Log(LogLevel::kInfo, kPart, "A run is lost.",
                {{"run", ToString(name)},
                 {"worker", worker.entry.name.value},
                 {"reason", reason}});
    context.Count(Metric::kRunsLost, reason);
    Release(context, worker, name);
    submission_progress::OnLost(context, name);
  }
}

}  // namespace basilspread::internal::fleet::polls
