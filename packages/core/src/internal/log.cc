#include "internal/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/configuration.h"
#include "internal/jobs.h"
#include "internal/ownership.h"
#include "internal/peers.h"
#include "internal/requests.h"

namespace basilspread::internal::log {
namespace {

constexpr std::string_view kPart = "log";

/// Append rate of all shard streams together. The log takes several hundred
/// appends a second; the remainder is left for retries and other streams.
constexpr std::int64_t kShardAppendsPerSecond = 240;
/// Limits the size of one append.
constexpr std::size_t kMaxBatchRecords = 256;
/// A batch that is not read back within the retry delay is appended again.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(4);
/// A stream counts as not writable once a batch has been in flight this long.
constexpr Duration kMaxInFlightTime = std::chrono::seconds(1);
/// The log counts as available for this long after its latest answer.
constexpr Duration kMaxAnswerAge = std::chrono::seconds(2);

/// Minimum time between two appends to one stream, so that the cluster stays
/// within kShardAppendsPerSecond when all streams are busy.
Duration MinAppendInterval(const Context& context) {
  const auto shards =
      static_cast<std::int64_t>(context.state.ownership.shards.size());
  const Duration share =
      Duration(std::chrono::seconds(1)) * shards / kShardAppendsPerSecond;
  return std::max(context.state.settings.append_interval, share);
}

void Read(Context& context, const StreamName& name, LogStream& stream) {
  if (stream.reading) {
    stream.read_again = true;
    return;
  }
  stream.reading = true;
  stream.read_again = false;
  stream.read_at = context.now;
  context.Emit(ReadLog{name, stream.next});
}

void ArmRead(Context& context) {
  std::optional<TimePoint> next;
  for (const auto& [name, stream] : context.state.log.streams) {
    if (!stream.reading) {
      const TimePoint due = stream.read_at + stream.read_interval;
      next = next ? std::min(*next, due) : due;
    }
  }
  if (next) {
    context.Emit(SetTimer{TimerKind::kLogRead, *next});
  }
}

void ArmAppend(Context& context) {
  std::optional<TimePoint> next;
  for (const auto& [name, stream] : context.state.log.streams) {
    if (stream.send_at) {
      next = next ? std::min(*next, *stream.send_at) : *stream.send_at;
    }
  }
  if (next) {
    context.Emit(SetTimer{TimerKind::kLogAppend, *next});
  }
}

/// Schedules the append of the pending records unless a batch is in flight.
void ScheduleAppend(Context& context, LogStream& stream) {
  if (stream.in_flight || stream.pending.empty() || stream.send_at) {
    return;
  }
  TimePoint at = context.now + context.state.settings.append_interval;
  if (stream.last_sent) {
    at = std::max(at, *stream.last_sent + MinAppendInterval(context));
  }
  stream.send_at = at;
  ArmAppend(context);
}

void SendBatch(Context& context, const StreamName& name, LogStream& stream) {
  stream.last_sent = context.now;
  stream.send_at.reset();
  context.Emit(AppendLog{name, *stream.in_flight});
}

void SendPending(Context& context, const StreamName& name, LogStream& stream) {
  const std::size_t count = std::min(stream.pending.size(), kMaxBatchRecords);
  const auto end = stream.pending.begin() + static_cast<std::ptrdiff_t>(count);
  LogBatch batch;
  batch.writer = context.state.settings.self;
  batch.id = AppendId{context.state.log.next_append++};
  batch.records.assign(std::make_move_iterator(stream.pending.begin()),
                       std::make_move_iterator(end));
  stream.pending.erase(stream.pending.begin(), end);
  stream.in_flight = std::move(batch);
  stream.in_flight_since = context.now;
  stream.in_flight_outcome_unknown = false;
  stream.retry_delay = kFirstRetryDelay;
  SendBatch(context, name, stream);
}

void Apply(Context& context, Offset offset, const LogRecord& record) {
  if (const auto* tables = std::get_if<TablesRecord>(&record)) {
    configuration::OnTablesRecord(context, offset, *tables);
  } else if (const auto* checkpoint =
                 std::get_if<TablesCheckpointRecord>(&record)) {
    configuration::OnCheckpoint(context, *checkpoint);
  } else if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
    ownership::OnClaim(context, *claim);
  } else if (const auto* release = std::get_if<ReleaseRecord>(&record)) {
    ownership::OnRelease(context, *release);
  } else if (const auto* checkpoint = std::get_if<CheckpointRecord>(&record)) {
    ownership::OnCheckpoint(context, *checkpoint);
  } else if (const auto* member = std::get_if<MemberRecord>(&record)) {
    peers::OnMemberRecord(context, *member);
  } else if (const auto* key = std::get_if<KeyIntentRecord>(&record)) {
    requests::OnKeyIntent(context, *key);
  } else if (const auto* end = std::get_if<KeyOutcomeRecord>(&record)) {
    requests::OnKeyOutcome(context, *end);
  } else if (const auto* job = std::get_if<JobRecord>(&record)) {
    jobs::OnRecord(context, *job);
  } else if (const auto* intent = std::get_if<IntentRecord>(&record)) {
    jobs::OnRecord(context, *intent);
  } else if (const auto* outcome = std::get_if<OutcomeRecord>(&record)) {
    jobs::OnRecord(context, *outcome);
  } else if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    jobs::OnRecord(context, *cancel);
  }
}

void ApplyBatch(Context& context, const StreamName& name, LogStream& stream,
                const StoredBatch& stored) {
  const LogBatch& batch = stored.batch;
  // A batch that was appended again after a lost answer may be stored twice;
  // batches of a writer are numbered, so only the first copy is applied.
  AppendId& applied = stream.applied[batch.writer];
  if (batch.id <= applied) {
    return;
  }
  applied = batch.id;
  const bool is_own = batch.writer == context.state.settings.self;
  if (is_own && stream.in_flight && stream.in_flight->id == batch.id) {
    stream.in_flight.reset();
    stream.send_at.reset();
  }
  for (const LogRecord& record : batch.records) {
    if (ownership::IsInForce(context, name, batch.writer, record)) {
      Apply(context, stored.offset, record);
    }
  }
}

void RecordAnswer(Context& context, bool ok) {
  LogState& log = context.state.log;
  const bool was_available = IsAvailable(context);
  (ok ? log.last_answered : log.last_failed) = context.now;
  if (ok) {
    log.last_failed.reset();
  }
  if (was_available && !IsAvailable(context)) {
    context.Log(LogLevel::kWarning, kPart,
                "The log is unavailable; appends and reads are retried.");
  } else if (!was_available && IsAvailable(context)) {
    context.Log(LogLevel::kInfo, kPart, "The log is available.");
  }
}

/// Resets what was derived from the stream if unread records have expired or
/// this is the first read; reading continues at the oldest kept record.
void RestartIfExpired(Context& context, const StreamName& name,
                      LogStream& stream, Offset first_kept) {
  stream.first_kept = first_kept;
  if (stream.started && first_kept <= stream.next) {
    return;
  }
  if (stream.started) {
    context.Log(
        LogLevel::kWarning, kPart,
        "Log records expired before they were read; rebuilding from the "
        "oldest kept record.",
        {{"stream", name.value},
         {"next", stream.next.value},
         {"first", first_kept.value}});
  }
  stream.started = true;
  ownership::OnStreamRestart(context, name, first_kept.value == 0);
}

/// Whether the batch is a single claim. Such a batch is withdrawn when it is
/// certain that it was not stored, since the claim may no longer be wanted.
bool IsSingleClaim(const LogBatch& batch) {
  return batch.records.size() == 1 &&
         std::holds_alternative<ClaimRecord>(batch.records.front());
}

}  // namespace

void Start(Context& context) {
  Follow(context, TablesStream(), context.state.settings.log_read_interval);
}

void OnReadTimer(Context& context) {
  for (auto& [name, stream] : context.state.log.streams) {
    if (!stream.reading &&
        stream.read_at + stream.read_interval <= context.now) {
      Read(context, name, stream);
    }
  }
  ArmRead(context);
}

void OnAppendTimer(Context& context) {
  for (auto& [name, stream] : context.state.log.streams) {
    if (!stream.send_at || *stream.send_at > context.now) {
      continue;
    }
    if (stream.in_flight) {
      SendBatch(context, name, stream);
    } else {
      SendPending(context, name, stream);
    }
  }
  ArmAppend(context);
}

void OnAppended(Context& context, const LogAppended& event) {
  RecordAnswer(context, event.result == AppendResult::kStored);
  const auto found = context.state.log.streams.find(event.stream);
  if (found == context.state.log.streams.end()) {
    return;
  }
  LogStream& stream = found->second;
  if (!stream.in_flight || stream.in_flight->id != event.id) {
    return;
  }
  // The answer does not settle the batch: it is in effect once it is read back,
  // and until then it is appended again under the same number.
  stream.send_at = context.now + stream.retry_delay;
  stream.retry_delay = std::min(stream.retry_delay * 2, kMaxRetryDelay);
  if (event.result != AppendResult::kRefused) {
    stream.in_flight_outcome_unknown = true;
    Read(context, event.stream, stream);
  } else if (!stream.in_flight_outcome_unknown &&
             IsSingleClaim(*stream.in_flight)) {
    const auto claim = std::get<ClaimRecord>(stream.in_flight->records.front());
    stream.in_flight.reset();
    stream.send_at.reset();
    ownership::OnClaimRefused(context, claim.shard);
    ScheduleAppend(context, stream);
  }
  ArmAppend(context);
}

void OnRead(Context& context, const LogRead& event) {
  RecordAnswer(context, event.ok);
  const auto found = context.state.log.streams.find(event.stream);
  if (found == context.state.log.streams.end()) {
    return;
  }
  LogStream& stream = found->second;
  stream.reading = false;
  if (!event.ok) {
    stream.at_end = false;
    ArmRead(context);
    return;
  }
  RestartIfExpired(context, event.stream, stream, event.first_kept);
  const bool holds_tables = event.stream == TablesStream();
  if (holds_tables) {
    configuration::OnReadBegins(context, stream.next, event.first_kept);
  }
  for (const StoredBatch& stored : event.batches) {
    if (stored.offset >= stream.next) {
      ApplyBatch(context, event.stream, stream, stored);
    }
  }
  stream.next = std::max(stream.next, event.next);
  stream.at_end = event.at_end;
  if (holds_tables) {
    configuration::OnReadEnds(context, stream.next, event.at_end);
  }
  if (event.at_end) {
    stream.caught_up_at = stream.read_at;
    ownership::OnStreamCaughtUp(context, event.stream, stream.read_at);
  }
  if (!event.at_end || stream.read_again) {
    Read(context, event.stream, stream);
  }
  ScheduleAppend(context, stream);
  ArmRead(context);
}

void Follow(Context& context, const StreamName& stream, Duration interval) {
  const auto [found, is_new] = context.state.log.streams.try_emplace(stream);
  const bool is_sooner = interval < found->second.read_interval;
  found->second.read_interval = interval;
  if (is_new || is_sooner) {
    Read(context, stream, found->second);
    ArmRead(context);
  }
}

bool Unfollow(Context& context, const StreamName& stream) {
  const auto found = context.state.log.streams.find(stream);
  if (found == context.state.log.streams.end()) {
    return true;
  }
  if (found->second.in_flight || !found->second.pending.empty() ||
      found->second.reading) {
    return false;
  }
  context.state.log.streams.erase(found);
  return true;
}

void ReadNow(Context& context, const StreamName& stream) {
  const auto found = context.state.log.streams.find(stream);
  if (found != context.state.log.streams.end()) {
    Read(context, stream, found->second);
  }
}

void Append(Context& context, const StreamName& stream, LogRecord record) {
  const auto found = context.state.log.streams.find(stream);
  if (found == context.state.log.streams.end()) {
    Follow(context, stream, context.state.settings.log_read_interval);
  }
  LogStream& target = context.state.log.streams[stream];
  target.pending.push_back(std::move(record));
  ScheduleAppend(context, target);
}

bool IsAvailable(const Context& context) {
  const LogState& log = context.state.log;
  return log.last_answered && !log.last_failed &&
         context.now - *log.last_answered <= kMaxAnswerAge;
}

bool IsWritable(const Context& context, const StreamName& stream) {
  const auto found = context.state.log.streams.find(stream);
  if (found == context.state.log.streams.end() || !IsAvailable(context)) {
    return false;
  }
  return !found->second.in_flight ||
         context.now - found->second.in_flight_since < kMaxInFlightTime;
}

}  // namespace basilspread::internal::log
