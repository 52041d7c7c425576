#ifndef BASILSPREAD_CORE_REQUEST_KEYS_H_
#define BASILSPREAD_CORE_REQUEST_KEYS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// An idempotency key with its scope; teams and routes do not share keys.
struct IdempotencyKey {
  ShardId shard;
  RouteName route;
  TeamName team;
  std::string key;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

/// Progress of the run under an idempotency key.
enum class IdempotencyPhase {
  /// The intent was appended to the log and not yet read back.
  kIntentPending,
  kRunning,
  /// An intent of another process was read without an outcome; that process
  /// may have run the request.
  kMayHaveRun,
  kDone,
};

/// A caller that waits for the answer to the request under a key.
struct IdempotencyWaiter {
  RequestKey request;
  std::uint32_t forward_attempt = 0;
  TimePoint deadline;
  /// Set when an earlier attempt of the same call may have run.
  bool may_have_run = false;
};

/// State of one idempotency key.
struct IdempotencyEntry {
  IdempotencyPhase phase = IdempotencyPhase::kRunning;
  bool idempotent = false;
  /// Hash of the request; a key must not be reused for a different request.
  std::uint64_t fingerprint = 0;
  /// The process that logged the intent.
  ProcessId runner;
  PayloadPtr request;
  TimePoint deadline;
  std::vector<IdempotencyWaiter> waiters;
  /// The answer; valid in phase kDone.
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr answer;
  /// When the entry is evicted; valid in phases kMayHaveRun and kDone.
  TimePoint evict_at;
};

/// The idempotency keys of all shards whose streams this process reads.
struct IdempotencyState {
  std::map<IdempotencyKey, IdempotencyEntry> entries;
  /// Entries to check for eviction, by time.
  std::multimap<TimePoint, IdempotencyKey> evictions;
  /// Entries to check for waiters past their deadline, by time.
  std::multimap<TimePoint, IdempotencyKey> deadlines;
  /// Runs under keys; this process submits them as calls to itself.
  std::map<CallId, IdempotencyKey> runs;
  std::uint64_t next_run = 1;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUEST_KEYS_H_
