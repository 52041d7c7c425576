#include "internal/work_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspread/core/random.h"
#include "internal/fleet.h"
#include "internal/fleet_polls.h"
#include "internal/leadership.h"
#include "internal/leadership_proof.h"
#include "internal/long_running.h"
#include "internal/own_load.h"
#include "internal/submission_loading.h"
#include "internal/submission_service.h"
#include "quota/retained_specs.h"
#include "run_times/summary.h"
#include "takeover_wait/leader_records.h"
#include "takeover_wait/worker_records.h"

namespace basilspread::internal::work_log {
namespace {

constexpr std::string_view kPart = "work-log";
/// Minimum interval between appends, so that records share a call: the store's
/// call rate is limited, and a caller waits half of this on average.
constexpr Duration kMinAppendInterval = std::chrono::milliseconds(15);
/// Delay before an append; the events of one poll or burst arrive within it.
constexpr Duration kBatchDelay = std::chrono::milliseconds(2);
/// An append without an answer is sent again on another connection after this
/// time: ten times what an append takes under low load. The store carries out
/// only one of them.
constexpr Duration kResendAfter = std::chrono::milliseconds(250);
/// If an append has had no answer for this long, the submissions queued behind
/// it are rejected: a third of the 3 s that callers wait, so that they can
/// retry.
constexpr Duration kNoAnswerLimit = std::chrono::seconds(1);
/// Delay before a refused append is repeated; doubles up to the maximum.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(40);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(640);
constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(100);
/// An append takes no more records once it has this many bytes, half of what
/// the store accepts; the last record, of at most 256 KiB, may exceed it.
constexpr std::size_t kMaxAppendBytes = std::size_t{1} << 20U;

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

ProgressRecord MakeProgressRecord(const Submission& submission) {
  ProgressRecord record;
  record.id = submission.id;
  record.state = submission.state;
  record.cancelled_early = submission.cancelled_early;
  if (HasEnded(submission.state)) {
    return record;
  }
  for (std::uint32_t step = 0; step < submission.steps.size(); ++step) {
    const auto& tasks = submission.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const RunState& task = tasks[index];
      const bool succeeded = task.phase == RunPhase::kSucceeded;
      // Of long-running tasks, only the numbering of the runs is stored.
      const bool is_numbered = task.highest_run.value > 0 &&
                               long_running::IsLongRunning(submission, step);
      if (succeeded || !task.failed_runs.empty() || is_numbered) {
        record.tasks.push_back(
            {step,
             index,
             succeeded,
             {task.failed_runs.begin(), task.failed_runs.end()},
             task.highest_run});
      }
    }
  }
  return record;
}

CallChannels& Channels(Context& context) {
  return StateOf(context).leadership.append_channels;
}

/// Returns the number of a takeover's first append. It differs between
/// takeovers, so that the store tells two that use the same epoch apart.
std::uint64_t FirstSequence(const Context& context) {
  // Leaves 40 bits: the store's answers have the numbers as JSON numbers, which
  // are exact up to 2^53.
  constexpr unsigned kDroppedBits = 24;
  const LeadershipState& leadership = context.state.submissions.leadership;
  const ProcessId& self = context.state.settings.self;
  return StableHash(fmt::format("{}|{}|{}", self.node.value, self.incarnation,
                                leadership.epoch.value)) >>
         kDroppedBits;
}

/// Sends the append in flight, also as a repeat. Arms the timer that repeats it
/// if no answer arrives.
void Send(Context& context) {
  WorkLogState& log = StateOf(context).log;
  const std::optional<CallChannel> channel = Channels(context).Acquire();
  if (channel) {
    log.last_sent = context.now;
    log.in_flight->channel = *channel;
    context.Emit(*log.in_flight);
  }
  context.ArmIn(TimerKind::kWorkLog, kResendAfter);
}

void Begin(Context& context, AppendWork append) {
  WorkLogState& log = StateOf(context).log;
  log.in_flight = std::move(append);
  log.in_flight_since = context.now;
  Send(context);
}

void Retry(Context& context) {
  WorkLogState& log = StateOf(context).log;
  log.retry_delay = std::clamp<Duration>(log.retry_delay * 2, kFirstRetryDelay,
                                         kMaxRetryDelay);
  log.not_before = context.now + log.retry_delay;
  context.ArmIn(TimerKind::kWorkLog, log.retry_delay);
}

void RecordFailure(Context& context, std::string_view reason) {
  WorkLogState& log = StateOf(context).log;
  if (!log.failing_since) {
    log.failing_since = context.now;
    context.Log(LogLevel::kWarning, kPart,
                "Appends to the work log fail; they are repeated.",
                {{"reason", reason}});
  }
}

void RecordSuccess(Context& context) {
  WorkLogState& log = StateOf(context).log;
  if (log.failing_since) {
    context.Log(LogLevel::kInfo, kPart,
                "Appends to the work log succeed again.",
                {{"away_ms", context.now - *log.failing_since}});
  }
  log.failing_since.reset();
  log.retry_delay = Duration::zero();
}

/// Arms the timer for the next append, so that events that arrive together
/// share one append.
void ScheduleAppend(Context& context) {
  WorkLogState& log = StateOf(context).log;
  if (leadership::IsLeading(context) && !log.in_flight &&
      !log.append_scheduled) {
    log.append_scheduled = true;
    context.Emit(SetTimer{
        TimerKind::kWorkLog,
        std::max({context.now + kBatchDelay, log.last_sent + kMinAppendInterval,
                  log.not_before})});
  }
}

/// Notes the ends of runs, by worker, that are stored with the append being
/// built.
void CollectEnds(Context& context) {
  SubmissionsState& state = StateOf(context);
  for (const HostName& name : state.fleet.with_unstored_ends) {
    ++state.fleet.workers_visited;
    state.log.in_flight_ends[name] = state.fleet.workers.at(name).seen_end;
  }
}

/// An append that is being built.
struct Batch {
  AppendWork append;
  std::size_t bytes = 0;

  bool IsFull() const { return this->bytes >= kMaxAppendBytes; }
  void Add(WorkRecord record) {
    this->bytes += MaxEncodedBytes(record);
    this->append.records.push_back(std::move(record));
  }
};

void AddAccepted(Context& context, Batch& batch) {
  WorkLogState& log = StateOf(context).log;
  auto next = log.accepted.begin();
  for (; next != log.accepted.end() && !batch.IsFull(); ++next) {
    const auto* record = std::get_if<AcceptedRecord>(&*next);
    if (record != nullptr) {
      log.in_flight_accepted.push_back(record->spec->id);
    }
    batch.Add(std::move(*next));
  }
  log.accepted.erase(log.accepted.begin(), next);
}

void AddChanged(Context& context, Batch& batch) {
  SubmissionsState& state = StateOf(context);
  auto next = state.log.changed.begin();
  for (; next != state.log.changed.end() && !batch.IsFull(); ++next) {
    const auto found = state.all.find(*next);
    if (found == state.all.end()) {
      continue;
    }
    batch.Add(MakeProgressRecord(*found->second));
    state.log.in_flight_changed[*next] = found->second->state;
    if (HasEnded(found->second->state) &&
        !retained_specs::Retain(context, *found->second)) {
      batch.Add(SpecDroppedRecord{*next});
    }
  }
  state.log.changed.erase(state.log.changed.begin(), next);
}

/// Adds the records of workers. A closed worker's record names no run that has
/// ended, so that it must not precede the changes that the ends have caused.
void AddWorkers(Context& context, Batch& batch) {
  WorkLogState& log = StateOf(context).log;
  if (!log.changed.empty()) {
    return;
  }
  auto next = log.workers.begin();
  for (; next != log.workers.end() && !batch.IsFull(); ++next) {
    batch.Add(takeover_wait::MakeWorkerRecord(context, *next));
    log.in_flight_workers.insert(*next);
  }
  log.workers.erase(log.workers.begin(), next);
}

void AddLeaders(Context& context, Batch& batch) {
  WorkLogState& log = StateOf(context).log;
  for (const NodeName& node : log.ended_leaders) {
    batch.Add(LeaderGoneRecord{node});
  }
  log.in_flight_ended_leaders = std::exchange(log.ended_leaders, {});
  for (const NodeName& node : log.predecessors) {
    if (auto record = takeover_wait::MakeLeaderRecord(context, node)) {
      batch.Add(*std::move(record));
    }
  }
  log.in_flight_predecessors = std::exchange(log.predecessors, {});
  if (leadership_proof::NeedsAppend(context)) {
    batch.Add(takeover_wait::MakeOwnLeaderRecord(context));
  }
}

/// Marks the workers of the append as stored, except those changed since.
void MarkWorkersStored(Context& context) {
  WorkLogState& log = StateOf(context).log;
  std::set<HostName> stored = std::exchange(log.in_flight_workers, {});
  std::erase_if(stored, [&log](const HostName& name) {
    return log.workers.contains(name);
  });
  if (!stored.empty()) {
    fleet::OnRecorded(context, stored);
  }
}

void MarkEndsStored(Context& context) {
  SubmissionsState& state = StateOf(context);
  for (const auto& [name, number] : state.log.in_flight_ends) {
    const auto worker = state.fleet.workers.find(name);
    if (worker == state.fleet.workers.end()) {
      continue;
    }
    FleetWorker& known = worker->second;
    known.stored_end =
        std::max(known.stored_end, std::min(number, known.seen_end));
    if (known.stored_end == known.seen_end) {
      state.fleet.with_unstored_ends.erase(name);
    }
    if (known.may_have_more_ends) {
      fleet::polls::StartPolling(context, known);
    }
  }
  state.log.in_flight_ends.clear();
}

void OnStored(Context& context) {
  WorkLogState& log = StateOf(context).log;
  RecordSuccess(context);
  leadership::OnStoreAnswered(context);
  log.in_flight.reset();
  log.may_be_stored = false;
  ++log.sequence;
  log.in_flight_ended_leaders.clear();
  log.in_flight_predecessors.clear();
  leadership_proof::OnAppended(context, log.in_flight_since);
  MarkEndsStored(context);
  MarkWorkersStored(context);
  const auto accepted = std::exchange(log.in_flight_accepted, {});
  const auto changed = std::exchange(log.in_flight_changed, {});
  for (const SubmissionId& id : accepted) {
    service::OnAccepted(context, id);
  }
  for (const auto& [id, state] : changed) {
    service::OnChangeStored(context, id, state);
  }
  Pump(context);
}

/// Handles an append that was not carried out: rejects its new submissions and
/// queues its other changes again.
void OnRefused(Context& context) {
  WorkLogState& log = StateOf(context).log;
  log.in_flight.reset();
  log.in_flight_ends.clear();
  log.workers.merge(std::exchange(log.in_flight_workers, {}));
  log.ended_leaders.merge(std::exchange(log.in_flight_ended_leaders, {}));
  log.predecessors.merge(std::exchange(log.in_flight_predecessors, {}));
  for (const auto& [id, state] : std::exchange(log.in_flight_changed, {})) {
    log.changed.insert(id);
  }
  for (const SubmissionId& id : std::exchange(log.in_flight_accepted, {})) {
    service::OnNotAccepted(context, id, ErrorKind::kLogUnavailable);
  }
  Retry(context);
}

}  // namespace

void RaiseEpoch(Context& context) {
  SubmissionsState& state = StateOf(context);
  state.log = WorkLogState{};
  state.log.epoch = state.leadership.epoch;
  state.log.sequence = FirstSequence(context);
  Begin(context, AppendWork{state.log.epoch,
                            state.log.sequence,
                            {takeover_wait::MakeOwnLeaderRecord(context)}});
}

void RequestList(Context& context) {
  ++StateOf(context).log.listings;
  context.Emit(ListWork{"", StateOf(context).leadership.epoch});
}

void OnListed(Context& context, const WorkListed& event) {
  if (StateOf(context).leadership.phase != LeaderPhase::kLoading) {
    return;
  }
  if (!event.ok) {
    StateOf(context).log.awaits_load_retry = true;
    context.ArmIn(TimerKind::kLoadRetry, kLoadRetryDelay);
    return;
  }
  ++StateOf(context).log.pages;
  for (const WorkRecord& record : event.records) {
    submission_loading::Load(context, record);
  }
  for (const RecordSubject& subject : event.unreadable) {
    submission_loading::LoadUnreadable(context, subject);
  }
  if (!event.next.empty()) {
    context.Emit(ListWork{event.next, event.epoch});
    return;
  }
  submission_loading::FinishLoading(context);
  leadership::OnWorkLogLoaded(context);
}

void OnLoadTimer(Context& context) {
  if (std::exchange(StateOf(context).log.awaits_load_retry, false)) {
    // Loading a record is idempotent, so the list is read from the start.
    RequestList(context);
  }
}

void Accept(Context& context, const Submission& submission) {
  StateOf(context).log.accepted.emplace_back(AcceptedRecord{
      submission.spec, submission.policy, StateOf(context).leadership.epoch,
      submission.is_beyond_share});
  ScheduleAppend(context);
}

void Change(Context& context, const SubmissionId& id) {
  StateOf(context).log.changed.insert(id);
  ScheduleAppend(context);
}

void Forget(Context& context, const SubmissionId& id) {
  StateOf(context).log.accepted.emplace_back(ForgottenRecord{id});
  ScheduleAppend(context);
}

void RecordWorker(Context& context, const HostName& worker) {
  StateOf(context).log.workers.insert(worker);
  ScheduleAppend(context);
}

void RecordLeader(Context& context) { ScheduleAppend(context); }

void RecordPredecessor(Context& context, const NodeName& node) {
  StateOf(context).log.predecessors.insert(node);
  ScheduleAppend(context);
}

void ForgetLeader(Context& context, const NodeName& node) {
  StateOf(context).log.ended_leaders.insert(node);
  ScheduleAppend(context);
}

void Pump(Context& context) {
  SubmissionsState& state = StateOf(context);
  WorkLogState& log = state.log;
  const bool is_empty = log.accepted.empty() && log.changed.empty() &&
                        log.workers.empty() && log.ended_leaders.empty() &&
                        log.predecessors.empty() &&
                        !leadership_proof::NeedsAppend(context);
  if (!leadership::IsLeading(context) || log.in_flight || is_empty) {
    return;
  }
  const TimePoint due =
      std::max(log.last_sent + kMinAppendInterval, log.not_before);
  if (context.now < due) {
    context.Emit(SetTimer{TimerKind::kWorkLog, due});
    return;
  }
  Batch batch{{log.epoch, log.sequence, {}}};
  AddAccepted(context, batch);
  AddChanged(context, batch);
  AddWorkers(context, batch);
  AddLeaders(context, batch);
  if (batch.append.records.empty()) {
    // All changed submissions were forgotten since. Nothing is sent, because an
    // append without records would raise the epoch.
    return;
  }
  if (auto summary =
          batch.IsFull() ? std::nullopt : run_times::TakeSummary(context)) {
    batch.Add(*std::move(summary));
  }
  // A worker may forget an end only once the changes it caused are stored.
  if (log.changed.empty()) {
    CollectEnds(context);
  }
  Begin(context, std::move(batch.append));
}

void OnAppended(Context& context, const WorkAppended& event) {
  WorkLogState& log = StateOf(context).log;
  Channels(context).Release(event.channel);
  const bool is_expected = log.in_flight && event.epoch == log.epoch &&
                           event.sequence == log.in_flight->sequence;
  if (!is_expected) {
    return;
  }
  if (event.result == WorkAppendResult::kFenced) {
    leadership::OnFenced(context, event.epoch_in_force);
    return;
  }
  const bool raises_epoch =
      StateOf(context).leadership.phase == LeaderPhase::kFencing;
  const bool is_out_of_sequence =
      event.result == WorkAppendResult::kOutOfSequence;
  const bool may_be_duplicate =
      log.may_be_stored || !Channels(context).IsIdle();
  // The store expects the next number because it carried out another attempt
  // of this append.
  const bool was_stored = is_out_of_sequence && may_be_duplicate &&
                          event.expected_sequence == event.sequence + 1;
  if (is_out_of_sequence && !was_stored) {
    context.Log(LogLevel::kWarning, kPart,
                "Another takeover appends in the epoch of this one.",
                {{"epoch", log.epoch.value},
                 {"sequence", event.sequence},
                 {"expected", event.expected_sequence},
                 {"records", log.in_flight->records.size()}});
    leadership::OnFenced(context, event.epoch);
    return;
  }
  if (event.result == WorkAppendResult::kStored || was_stored) {
    OnStored(context);
    if (raises_epoch) {
      leadership::OnEpochRaised(context);
    }
    return;
  }
  if (event.result == WorkAppendResult::kUnknown) {
    log.may_be_stored = true;
    return;
  }
  RecordFailure(context, "refused");
  if (!may_be_duplicate && !raises_epoch) {
    OnRefused(context);
    return;
  }
  Retry(context);
}

void OnTimer(Context& context) {
  WorkLogState& log = StateOf(context).log;
  log.append_scheduled = false;
  if (!log.in_flight) {
    Pump(context);
    return;
  }
  const TimePoint caught_up = own_load::CaughtUpTo(context);
  if (caught_up < log.last_sent + kResendAfter && caught_up < context.now) {
    // The answer may still be in this process's own queue.
    context.ArmIn(TimerKind::kWorkLog,
                  log.last_sent + kResendAfter - caught_up);
    return;
  }
  if (caught_up >= log.in_flight_since + kNoAnswerLimit) {
    RecordFailure(context, "no answer");
    DeclineQueued(context, ErrorKind::kLogUnavailable);
  }
  Send(context);
}

bool IsAvailable(const Context& context) {
  const WorkLogState& log = context.state.submissions.log;
  return !log.failing_since ||
         (!log.in_flight && context.now >= log.not_before);
}

bool IsWaiting(const Context& context, Duration time) {
  const WorkLogState& log = context.state.submissions.log;
  const TimePoint latest = context.now - time;
  return (log.in_flight && log.in_flight_since <= latest) ||
         (log.failing_since && *log.failing_since <= latest);
}

void DeclineQueued(Context& context, ErrorKind kind) {
  std::vector<WorkRecord> kept;
  std::vector<SubmissionId> declined;
  for (WorkRecord& record : StateOf(context).log.accepted) {
    if (const auto* accepted = std::get_if<AcceptedRecord>(&record)) {
      declined.push_back(accepted->spec->id);
    } else {
      kept.push_back(std::move(record));
    }
  }
  StateOf(context).log.accepted = std::move(kept);
  for (const SubmissionId& id : declined) {
    service::OnNotAccepted(context, id, kind);
  }
}

}  // namespace basilspread::internal::work_log
