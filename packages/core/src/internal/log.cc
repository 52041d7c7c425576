#include "internal/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/configuration.h"
#include "internal/jobs.h"
#include "internal/ownership.h"
#include "internal/requests.h"

namespace basilspread::internal::log {
namespace {

constexpr std::string_view kPart = "log";

/// A batch that was not read back for this long is appended again.
constexpr Duration kAppendRetry = std::chrono::seconds(2);

void Read(Context& context, const StreamName& name, LogStream& stream) {
  if (stream.reading) {
    return;
  }
  stream.reading = true;
  context.Emit(ReadLog{name, stream.next});
}

void Send(Context& context, const StreamName& name, LogStream& stream) {
  stream.appended_at = context.now;
  context.Emit(AppendLog{name, *stream.in_flight});
}

void SendPending(Context& context, const StreamName& name, LogStream& stream) {
  if (stream.in_flight || stream.pending.empty()) {
    return;
  }
  LogBatch batch;
  batch.writer = context.state.settings.self;
  batch.id = AppendId{context.state.log.next_append++};
  batch.records = std::exchange(stream.pending, {});
  stream.in_flight = std::move(batch);
  Send(context, name, stream);
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

void ApplyBatch(Context& context, LogStream& stream,
                const StoredBatch& stored) {
  const LogBatch& batch = stored.batch;
  // An append that was sent again because its answer was lost may stand
  // twice; batches of one writer are numbered, so only the first counts.
  AppendId& applied = stream.applied[batch.writer];
  if (batch.id <= applied) {
    return;
  }
  applied = batch.id;
  for (const LogRecord& record : batch.records) {
    Apply(context, stored.offset, record);
  }
  const bool is_own = batch.writer == context.state.settings.self;
  if (is_own && stream.in_flight && stream.in_flight->id == batch.id) {
    stream.in_flight.reset();
  }
}

}  // namespace

void Start(Context& context) {
  Follow(context, TablesStream());
  context.ArmIn(TimerKind::kLogRead, context.state.settings.log_read_interval);
}

void OnReadTimer(Context& context) {
  for (auto& [name, stream] : context.state.log.streams) {
    Read(context, name, stream);
    if (stream.in_flight && context.now - *stream.appended_at >= kAppendRetry) {
      Send(context, name, stream);
    }
  }
  context.ArmIn(TimerKind::kLogRead, context.state.settings.log_read_interval);
}

void OnAppendTimer(Context& context) {
  for (auto& [name, stream] : context.state.log.streams) {
    SendPending(context, name, stream);
  }
}

void OnAppended(Context& context, const LogAppended& event) {
  // Whatever the answer says, only a record that was read back counts.
  const auto stream = context.state.log.streams.find(event.stream);
  if (stream == context.state.log.streams.end()) {
    return;
  }
  if (event.result == AppendResult::kStored) {
    Read(context, stream->first, stream->second);
  }
}

void OnRead(Context& context, const LogRead& event) {
  const auto found = context.state.log.streams.find(event.stream);
  if (found == context.state.log.streams.end()) {
    return;
  }
  LogStream& stream = found->second;
  stream.reading = false;
  if (!event.ok) {
    return;
  }
  stream.last_read = context.now;
  const bool holds_tables = event.stream == TablesStream();
  if (holds_tables) {
    configuration::OnReadBegins(context, stream.next, event.first_kept);
  }
  for (const StoredBatch& stored : event.batches) {
    if (stored.offset >= stream.next) {
      ApplyBatch(context, stream, stored);
    }
  }
  stream.next = std::max(stream.next, event.next);
  stream.at_end = event.at_end;
  if (holds_tables) {
    configuration::OnReadEnds(context, stream.next, event.at_end);
  }
  if (!event.at_end || stream.in_flight) {
    Read(context, event.stream, stream);
  }
  SendPending(context, event.stream, stream);
}

void Follow(Context& context, const StreamName& stream) {
  const auto [found, is_new] = context.state.log.streams.try_emplace(stream);
  if (is_new) {
    Read(context, stream, found->second);
  }
}

void Append(Context& context, const StreamName& stream, LogRecord record) {
  Follow(context, stream);
  LogStream& target = context.state.log.streams[stream];
  const bool is_first = target.pending.empty();
  target.pending.push_back(std::move(record));
  if (is_first) {
    context.ArmIn(TimerKind::kLogAppend,
                  context.state.settings.append_interval);
  }
}

}  // namespace basilspread::internal::log
