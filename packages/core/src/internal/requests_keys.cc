#include "internal/requests_keys.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "basilspread/core/random.h"
#include "internal/log.h"
#include "internal/ownership.h"
#include "internal/requests_forwarding.h"

namespace basilspread::internal::requests {
namespace {

/// How long the entry of a finished key is kept to answer repeated requests.
constexpr Duration kKeyRetention = std::chrono::minutes(10);
/// Maximum number of keys known to this process.
constexpr std::size_t kMaxKeys = 20000;
/// Answers with a larger body are not written to the log.
constexpr std::size_t kMaxLoggedAnswerBytes = 4096;
/// How long a request waits for its intent to be read back from the log.
constexpr Duration kMaxIntentWait = std::chrono::seconds(2);
/// Delay after a waiter's deadline, so that a run that ends at the same
/// deadline answers it first.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(50);
/// First call number of runs under keys. They are calls of this process to
/// itself; their numbers must not collide with those of the front end.
constexpr std::uint64_t kFirstRunCall = std::uint64_t{1} << 63U;

std::uint64_t Fingerprint(const Payload& request) {
  return StableHash(request.method + " " + request.target + "\n" +
                    request.body);
}

void AnswerWaiter(Context& context, const IdempotencyWaiter& waiter,
                  Outcome outcome) {
  Answer(context, waiter.request, waiter.forward_attempt,
         AccountForEarlierAttempts(std::move(outcome), waiter.may_have_run));
}

void AnswerWaiters(Context& context,
                   const std::vector<IdempotencyWaiter>& waiters,
                   const Outcome& outcome) {
  for (const IdempotencyWaiter& waiter : waiters) {
    AnswerWaiter(context, waiter, outcome);
  }
}

/// Keeps a finished entry for kKeyRetention without its request.
void ScheduleEviction(Context& context, const IdempotencyKey& name,
                      IdempotencyEntry& entry) {
  entry.evict_at = context.now + kKeyRetention;
  entry.request = nullptr;
  context.state.requests.keys.evictions.emplace(entry.evict_at, name);
}

void AddWaiter(Context& context, const IdempotencyKey& name,
               IdempotencyEntry& entry, const IdempotencyWaiter& waiter) {
  entry.waiters.push_back(waiter);
  const TimePoint end = waiter.deadline + kDeadlineGrace;
  const bool is_intent_pending =
      entry.phase == IdempotencyPhase::kIntentPending;
  context.state.requests.keys.deadlines.emplace(
      is_intent_pending ? std::min(end, context.now + kMaxIntentWait) : end,
      name);
}

void LogIntent(Context& context, const IdempotencyKey& name,
               const IdempotencyEntry& entry) {
  KeyIntentRecord record;
  record.shard = name.shard;
  record.epoch = context.state.ownership.shards.at(name.shard).epoch;
  record.runner = entry.runner;
  record.route = name.route;
  record.team = name.team;
  record.key = name.key;
  record.fingerprint = entry.fingerprint;
  log::Append(context, ownership::StreamOf(name.shard), std::move(record));
}

void LogOutcome(Context& context, const IdempotencyKey& name, ErrorKind kind,
                const PayloadPtr& answer) {
  KeyOutcomeRecord record;
  record.shard = name.shard;
  record.runner = context.state.settings.self;
  record.route = name.route;
  record.team = name.team;
  record.key = name.key;
  record.kind = kind;
  if (answer && answer->body.size() <= kMaxLoggedAnswerBytes) {
    record.answer = answer;
  }
  log::Append(context, ownership::StreamOf(name.shard), std::move(record));
}

/// Submits the request under a key as a call of this process to itself.
void StartRun(Context& context, const IdempotencyKey& name,
              IdempotencyEntry& entry) {
  IdempotencyState& keys = context.state.requests.keys;
  entry.phase = IdempotencyPhase::kRunning;
  RemoteRequestPtr call(new RemoteRequest);
  call->call = CallId{kFirstRunCall + keys.next_run++};
  call->route = name.route;
  call->team = name.team;
  call->idempotent = entry.idempotent;
  call->payload = entry.request;
  call->arrived = context.now;
  call->deadline = entry.deadline;
  keys.runs.emplace(call->call, name);
  Submit(context, call);
}

/// Handles the first request under a key.
void CreateEntry(Context& context, const Route& route,
                 const IdempotencyKey& name, const IdempotencyWaiter& waiter,
                 const PayloadPtr& request) {
  IdempotencyState& keys = context.state.requests.keys;
  if (keys.entries.size() >= kMaxKeys) {
    AnswerWaiter(context, waiter,
                 {ErrorKind::kQueueFull, "the key table is full", nullptr});
    return;
  }
  if (!route.idempotent &&
      !log::IsWritable(context, ownership::StreamOf(name.shard))) {
    AnswerWaiter(context, waiter, {ErrorKind::kLogUnavailable, "", nullptr});
    return;
  }
  IdempotencyEntry& entry = keys.entries[name];
  entry.phase = route.idempotent ? IdempotencyPhase::kRunning
                                 : IdempotencyPhase::kIntentPending;
  entry.idempotent = route.idempotent;
  entry.fingerprint = Fingerprint(*request);
  entry.runner = context.state.settings.self;
  entry.request = request;
  entry.deadline = waiter.deadline;
  AddWaiter(context, name, entry, waiter);
  if (route.idempotent) {
    StartRun(context, name, entry);
  } else {
    LogIntent(context, name, entry);
  }
}

/// Handles a further request under a key that has an entry.
void HandleRepeat(Context& context, const IdempotencyKey& name,
                  IdempotencyEntry& entry, const IdempotencyWaiter& waiter,
                  const PayloadPtr& request) {
  if (entry.fingerprint != Fingerprint(*request)) {
    AnswerWaiter(
        context, waiter,
        {ErrorKind::kConflict, "the key is of another request", nullptr});
    return;
  }
  switch (entry.phase) {
    case IdempotencyPhase::kIntentPending:
    case IdempotencyPhase::kRunning:
      AddWaiter(context, name, entry, waiter);
      return;
    case IdempotencyPhase::kMayHaveRun:
      AnswerWaiter(context, waiter,
                   {ErrorKind::kOutcomeUnknown,
                    "an earlier owner may have run it", nullptr});
      return;
    case IdempotencyPhase::kDone:
      AnswerWaiter(context, waiter,
                   Outcome{entry.kind, entry.detail, entry.answer});
      return;
  }
}

/// Answers the waiters of an entry that are past their deadline, or all of them
/// if the intent was not read back in time.
void ExpireWaiters(Context& context, const IdempotencyKey& name,
                   IdempotencyEntry& entry) {
  const bool is_intent_pending =
      entry.phase == IdempotencyPhase::kIntentPending;
  std::vector<IdempotencyWaiter> due;
  std::vector<IdempotencyWaiter> waiting;
  for (const IdempotencyWaiter& waiter : entry.waiters) {
    const bool is_due =
        is_intent_pending || waiter.deadline + kDeadlineGrace <= context.now;
    (is_due ? due : waiting).push_back(waiter);
  }
  entry.waiters = waiting;
  for (const IdempotencyWaiter& waiter : waiting) {
    context.state.requests.keys.deadlines.emplace(
        waiter.deadline + kDeadlineGrace, name);
  }
  AnswerWaiters(context, due,
                is_intent_pending
                    ? Outcome{ErrorKind::kLogUnavailable, "", nullptr}
                    : Outcome{ErrorKind::kOutcomeUnknown,
                              "the run under the key goes on", nullptr});
}

void EvictEntries(Context& context) {
  IdempotencyState& keys = context.state.requests.keys;
  while (!keys.evictions.empty() &&
         keys.evictions.begin()->first <= context.now) {
    const auto entry = keys.entries.find(keys.evictions.begin()->second);
    keys.evictions.erase(keys.evictions.begin());
    if (entry == keys.entries.end()) {
      continue;
    }
    const bool is_over = entry->second.phase == IdempotencyPhase::kMayHaveRun ||
                         entry->second.phase == IdempotencyPhase::kDone;
    if (is_over && entry->second.evict_at <= context.now) {
      keys.entries.erase(entry);
    }
  }
}

}  // namespace

ShardId KeyShard(const Pool& pool, const std::string& key) {
  return ownership::ShardAt(pool.name, StableHash(key) % pool.shards);
}

void SubmitUnderKey(Context& context, const Route& route,
                    const IdempotencyKey& name, const IdempotencyWaiter& waiter,
                    const PayloadPtr& request) {
  IdempotencyState& keys = context.state.requests.keys;
  const auto found = keys.entries.find(name);
  if (found == keys.entries.end()) {
    CreateEntry(context, route, name, waiter, request);
  } else {
    HandleRepeat(context, name, found->second, waiter, request);
  }
}

bool IsKeyRun(const Context& context, CallId call) {
  return context.state.requests.keys.runs.contains(call);
}

void OnKeyRunEnded(Context& context, CallId call, const Outcome& outcome) {
  IdempotencyState& keys = context.state.requests.keys;
  const IdempotencyKey name = keys.runs.at(call);
  keys.runs.erase(call);
  IdempotencyEntry& entry = keys.entries.at(name);
  const std::vector<IdempotencyWaiter> waiters =
      std::exchange(entry.waiters, {});
  const Execution execution = AnswerFor(outcome.kind).execution;
  if (!entry.idempotent) {
    LogOutcome(context, name, outcome.kind, outcome.payload);
  }
  // An idempotent request may safely run again, so its entry is kept only if it
  // is known to have run.
  const bool is_kept = entry.idempotent ? execution == Execution::kRan
                                        : execution != Execution::kNotRun;
  if (is_kept) {
    entry.phase = IdempotencyPhase::kDone;
    entry.kind = outcome.kind;
    entry.detail = outcome.detail;
    entry.answer = outcome.payload;
    ScheduleEviction(context, name, entry);
  } else {
    keys.entries.erase(name);
  }
  AnswerWaiters(context, waiters, outcome);
}

void ApplyKeyIntent(Context& context, const KeyIntentRecord& record) {
  const auto ownership = context.state.ownership.shards.find(record.shard);
  const bool is_stale = ownership == context.state.ownership.shards.end() ||
                        record.epoch < ownership->second.epoch;
  if (is_stale) {
    return;
  }
  IdempotencyState& keys = context.state.requests.keys;
  const IdempotencyKey name{record.shard, record.route, record.team,
                            record.key};
  if (record.runner != context.state.settings.self) {
    IdempotencyEntry& entry = keys.entries[name];
    entry.phase = IdempotencyPhase::kMayHaveRun;
    entry.fingerprint = record.fingerprint;
    entry.runner = record.runner;
    ScheduleEviction(context, name, entry);
    return;
  }
  const auto entry = keys.entries.find(name);
  const bool is_awaited =
      entry != keys.entries.end() &&
      entry->second.phase == IdempotencyPhase::kIntentPending &&
      ownership::OwnsShard(context, record.shard);
  if (!is_awaited) {
    return;
  }
  if (entry->second.waiters.empty()) {
    LogOutcome(context, name, ErrorKind::kLogUnavailable, nullptr);
    keys.entries.erase(entry);
    return;
  }
  StartRun(context, name, entry->second);
}

void ApplyKeyOutcome(Context& context, const KeyOutcomeRecord& record) {
  IdempotencyState& keys = context.state.requests.keys;
  const IdempotencyKey name{record.shard, record.route, record.team,
                            record.key};
  const auto found = keys.entries.find(name);
  const bool is_from_other_process =
      found != keys.entries.end() && found->second.runner == record.runner &&
      record.runner != context.state.settings.self;
  if (!is_from_other_process) {
    return;
  }
  if (AnswerFor(record.kind).execution == Execution::kNotRun) {
    keys.entries.erase(found);
    return;
  }
  IdempotencyEntry& entry = found->second;
  entry.phase = IdempotencyPhase::kDone;
  entry.kind = record.kind;
  entry.answer = record.answer;
  if (record.kind == ErrorKind::kNone && !record.answer) {
    entry.kind = ErrorKind::kOutcomeUnknown;
    entry.detail = "it ran; its answer was too large to be kept";
  }
  ScheduleEviction(context, name, entry);
}

void FailPendingIntents(Context& context, const ShardId& shard) {
  IdempotencyState& keys = context.state.requests.keys;
  std::vector<IdempotencyWaiter> waiters;
  for (auto it = keys.entries.begin(); it != keys.entries.end();) {
    const bool is_pending =
        it->first.shard == shard &&
        it->second.phase == IdempotencyPhase::kIntentPending;
    if (!is_pending) {
      ++it;
      continue;
    }
    waiters.insert(waiters.end(), it->second.waiters.begin(),
                   it->second.waiters.end());
    it = keys.entries.erase(it);
  }
  AnswerWaiters(context, waiters, {ErrorKind::kNotOwner, shard.value, nullptr});
}

bool HasKeyWaiters(const Context& context) {
  const IdempotencyState& keys = context.state.requests.keys;
  return std::any_of(
      keys.deadlines.begin(), keys.deadlines.end(), [&keys](const auto& item) {
        const auto entry = keys.entries.find(item.second);
        return entry != keys.entries.end() && !entry->second.waiters.empty();
      });
}

void ExpireKeys(Context& context) {
  IdempotencyState& keys = context.state.requests.keys;
  while (!keys.deadlines.empty() &&
         keys.deadlines.begin()->first <= context.now) {
    const IdempotencyKey name = keys.deadlines.begin()->second;
    keys.deadlines.erase(keys.deadlines.begin());
    const auto entry = keys.entries.find(name);
    if (entry != keys.entries.end()) {
      ExpireWaiters(context, name, entry->second);
    }
  }
  EvictEntries(context);
}

}  // namespace basilspread::internal::requests
