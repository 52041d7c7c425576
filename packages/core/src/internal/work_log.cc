#include "internal/work_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/fleet.h"
#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/submission_loading.h"
#include "internal/submission_service.h"

namespace basilspread::internal::work_log {
namespace {

constexpr std::string_view kPart = "work-log";
/// Appends begin this far apart at least, so that records share calls: the
/// store's calls are limited and a caller waits half of it on average.
constexpr Duration kAppendSpacing = std::chrono::milliseconds(15);
/// Events of one look or one burst come within this time.
constexpr Duration kGatherTime = std::chrono::milliseconds(2);
/// An append without an answer is sent again on another connection: ten times
/// what the store needs on a calm day. The store carries out one of them.
constexpr Duration kRepeatAfter = std::chrono::milliseconds(250);
/// After a silence of this length what waits behind the append is declined: a
/// third of the 3 s that callers wait, so that they can come again.
constexpr Duration kSilenceLimit = std::chrono::seconds(1);
/// Delay before an append that was refused is repeated; doubles.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(40);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(640);
constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(100);
/// Bytes of one append, half of what a store takes; one record more may come
/// on top, of 256 KiB at most.
constexpr std::size_t kMaxAppendBytes = std::size_t{1} << 20U;

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

ProgressRecord Describe(const Submission& submission) {
  ProgressRecord record;
  record.id = submission.id;
  record.state = submission.state;
  if (HasEnded(submission.state)) {
    return record;
  }
  for (std::uint32_t step = 0; step < submission.steps.size(); ++step) {
    const auto& tasks = submission.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const RunState& task = tasks[index];
      const bool succeeded = task.phase == RunPhase::kSucceeded;
      if (succeeded || !task.failed_runs.empty()) {
        record.tasks.push_back(
            {step,
             index,
             succeeded,
             {task.failed_runs.begin(), task.failed_runs.end()},
             task.run});
      }
    }
  }
  return record;
}

/// Sends the append, once more if it is under way. Without an answer the
/// timer repeats it.
void Send(Context& context) {
  WorkLogState& log = StateOf(context).log;
  const std::optional<CallChannel> channel = log.channels.Take();
  if (channel) {
    log.last_sent = context.now;
    log.in_flight->channel = *channel;
    context.Emit(*log.in_flight);
  }
  context.ArmIn(TimerKind::kWorkLog, kRepeatAfter);
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

void NoteFailure(Context& context, std::string_view reason) {
  WorkLogState& log = StateOf(context).log;
  if (!log.failing_since) {
    log.failing_since = context.now;
    context.Log(LogLevel::kWarning, kPart, "The store does not append.",
                {{"reason", reason}});
  }
}

void NoteSuccess(Context& context) {
  WorkLogState& log = StateOf(context).log;
  if (log.failing_since) {
    context.Log(LogLevel::kInfo, kPart, "The store appends again.",
                {{"away_ms", context.now - *log.failing_since}});
  }
  log.failing_since.reset();
  log.retry_delay = Duration::zero();
}

/// An append begins once the events that come together are handled.
void PumpSoon(Context& context) {
  WorkLogState& log = StateOf(context).log;
  if (leadership::IsLeading(context) && !log.in_flight && !log.is_due) {
    log.is_due = true;
    context.Emit(
        SetTimer{TimerKind::kWorkLog,
                 std::max({context.now + kGatherTime,
                           log.last_sent + kAppendSpacing, log.not_before})});
  }
}

/// Which ends of workers are stored with the append that is being made.
void SettleEnds(Context& context) {
  SubmissionsState& state = StateOf(context);
  for (const HostName& name : state.fleet.with_unstored_ends) {
    ++state.fleet.workers_visited;
    state.log.settling_ends[name] = state.fleet.workers.at(name).seen_end;
  }
}

/// An append that is being made.
struct Batch {
  AppendWork append;
  std::size_t bytes = 0;

  bool IsFull() const { return this->bytes >= kMaxAppendBytes; }
  void Add(WorkRecord record) {
    this->bytes += MostBytesOf(record);
    this->append.records.push_back(std::move(record));
  }
};

void TakeAccepted(Context& context, Batch& batch) {
  WorkLogState& log = StateOf(context).log;
  auto next = log.accepted.begin();
  for (; next != log.accepted.end() && !batch.IsFull(); ++next) {
    const auto* record = std::get_if<AcceptedRecord>(&*next);
    if (record != nullptr) {
      log.settling_accepted.push_back(record->spec->id);
    }
    batch.Add(std::move(*next));
  }
  log.accepted.erase(log.accepted.begin(), next);
}

void TakeChanged(Context& context, Batch& batch) {
  SubmissionsState& state = StateOf(context);
  auto next = state.log.changed.begin();
  for (; next != state.log.changed.end() && !batch.IsFull(); ++next) {
    const auto found = state.all.find(*next);
    if (found == state.all.end()) {
      continue;
    }
    batch.Add(Describe(*found->second));
    state.log.settling_changed[*next] = found->second->state;
    if (HasEnded(found->second->state)) {
      batch.Add(SpecDroppedRecord{*next});
    }
  }
  state.log.changed.erase(state.log.changed.begin(), next);
}

void TakeWorkers(Context& context, Batch& batch) {
  SubmissionsState& state = StateOf(context);
  for (const HostName& name : state.log.workers) {
    const auto found = state.fleet.workers.find(name);
    if (found == state.fleet.workers.end()) {
      batch.Add(WorkerGoneRecord{name});
      continue;
    }
    const WorkerEntry& entry = found->second.entry;
    batch.Add(WorkerRecord{name, entry.address, entry.incarnation});
  }
  state.log.settling_workers = std::exchange(state.log.workers, {});
}

/// But for those that have changed since.
void MarkWorkersStored(Context& context) {
  WorkLogState& log = StateOf(context).log;
  std::set<HostName> stored = std::exchange(log.settling_workers, {});
  std::erase_if(stored, [&log](const HostName& name) {
    return log.workers.contains(name);
  });
  if (!stored.empty()) {
    fleet::OnRecorded(context, stored);
  }
}

void MarkEndsStored(Context& context) {
  SubmissionsState& state = StateOf(context);
  for (const auto& [name, number] : state.log.settling_ends) {
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
  }
  state.log.settling_ends.clear();
}

void OnStored(Context& context) {
  WorkLogState& log = StateOf(context).log;
  NoteSuccess(context);
  leadership::OnStoreHeard(context);
  log.in_flight.reset();
  log.may_be_stored = false;
  ++log.sequence;
  MarkEndsStored(context);
  MarkWorkersStored(context);
  const auto accepted = std::exchange(log.settling_accepted, {});
  const auto changed = std::exchange(log.settling_changed, {});
  for (const SubmissionId& id : accepted) {
    service::OnAccepted(context, id);
  }
  for (const auto& [id, state] : changed) {
    service::OnChangeStored(context, id, state);
  }
  Pump(context);
}

/// The store did nothing: new submissions are given up, changes are queued
/// anew.
void OnRefused(Context& context) {
  WorkLogState& log = StateOf(context).log;
  log.in_flight.reset();
  log.settling_ends.clear();
  log.workers.merge(std::exchange(log.settling_workers, {}));
  for (const auto& [id, state] : std::exchange(log.settling_changed, {})) {
    log.changed.insert(id);
  }
  for (const SubmissionId& id : std::exchange(log.settling_accepted, {})) {
    service::OnNotAccepted(context, id, ErrorKind::kLogUnavailable);
  }
  Retry(context);
}

}  // namespace

void RaiseEpoch(Context& context) {
  SubmissionsState& state = StateOf(context);
  state.log = WorkLogState{};
  state.log.epoch = state.leadership.epoch;
  Begin(context, AppendWork{state.log.epoch, 0, {}});
}

void OnListed(Context& context, const WorkListed& event) {
  if (StateOf(context).leadership.phase != LeaderPhase::kLoading) {
    return;
  }
  if (!event.ok) {
    context.ArmIn(TimerKind::kLoadRetry, kLoadRetryDelay);
    return;
  }
  for (const WorkRecord& record : event.records) {
    submission_loading::Load(context, record);
  }
  if (!event.next.empty()) {
    context.Emit(ListWork{event.next});
    return;
  }
  submission_loading::FinishLoading(context);
  leadership::OnLoaded(context);
}

void OnLoadTimer(Context& context) {
  if (StateOf(context).leadership.phase == LeaderPhase::kLoading) {
    // Loading a record twice changes nothing, so the list is read anew.
    context.Emit(ListWork{});
  }
}

void Accept(Context& context, const Submission& submission) {
  StateOf(context).log.accepted.emplace_back(
      AcceptedRecord{submission.spec, submission.policy});
  PumpSoon(context);
}

void Change(Context& context, const SubmissionId& id) {
  StateOf(context).log.changed.insert(id);
  PumpSoon(context);
}

void Forget(Context& context, const SubmissionId& id) {
  StateOf(context).log.accepted.emplace_back(ForgottenRecord{id});
  PumpSoon(context);
}

void Note(Context& context, const HostName& worker) {
  StateOf(context).log.workers.insert(worker);
  PumpSoon(context);
}

void Pump(Context& context) {
  SubmissionsState& state = StateOf(context);
  WorkLogState& log = state.log;
  const bool is_idle =
      log.accepted.empty() && log.changed.empty() && log.workers.empty();
  if (!leadership::IsLeading(context) || log.in_flight || is_idle) {
    return;
  }
  const TimePoint due =
      std::max(log.last_sent + kAppendSpacing, log.not_before);
  if (context.now < due) {
    context.Emit(SetTimer{TimerKind::kWorkLog, due});
    return;
  }
  Batch batch{{log.epoch, log.sequence, {}}};
  TakeAccepted(context, batch);
  TakeChanged(context, batch);
  TakeWorkers(context, batch);
  if (batch.append.records.empty()) {
    // What changed was forgotten since. An append of nothing raises the epoch.
    return;
  }
  // An end may be forgotten only once what it changed is stored.
  if (log.changed.empty()) {
    SettleEnds(context);
  }
  Begin(context, std::move(batch.append));
}

void OnAppended(Context& context, const WorkAppended& event) {
  WorkLogState& log = StateOf(context).log;
  log.channels.Release(event.channel);
  const bool is_expected = log.in_flight && event.epoch == log.epoch &&
                           event.sequence == log.in_flight->sequence;
  if (!is_expected) {
    return;
  }
  if (event.result == WorkAppendResult::kFenced) {
    leadership::OnFenced(context, event.epoch_in_force);
    return;
  }
  const bool is_raise = log.in_flight->records.empty();
  const bool is_out_of_sequence =
      event.result == WorkAppendResult::kOutOfSequence;
  const bool others_count = log.may_be_stored || !log.channels.IsIdle();
  // The store expects what follows another try that it carried out.
  const bool was_stored = is_out_of_sequence && others_count &&
                          event.expected_sequence == event.sequence + 1;
  if (is_out_of_sequence && !was_stored) {
    log.sequence = event.expected_sequence;
    log.in_flight->sequence = event.expected_sequence;
    Send(context);
    return;
  }
  if (event.result == WorkAppendResult::kStored || was_stored) {
    OnStored(context);
    if (is_raise) {
      leadership::OnEpochRaised(context);
    }
    return;
  }
  if (event.result == WorkAppendResult::kUnknown) {
    log.may_be_stored = true;
    return;
  }
  NoteFailure(context, "refused");
  if (!others_count && !is_raise) {
    OnRefused(context);
    return;
  }
  Retry(context);
}

void OnTimer(Context& context) {
  WorkLogState& log = StateOf(context).log;
  log.is_due = false;
  if (!log.in_flight) {
    Pump(context);
    return;
  }
  const TimePoint caught_up = own_load::CaughtUpTo(context);
  if (caught_up < log.last_sent + kRepeatAfter && caught_up < context.now) {
    // The answer may lie in this process's queue.
    context.ArmIn(TimerKind::kWorkLog,
                  log.last_sent + kRepeatAfter - caught_up);
    return;
  }
  if (caught_up >= log.in_flight_since + kSilenceLimit) {
    NoteFailure(context, "no answer");
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
