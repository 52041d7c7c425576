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

/// Scope of an idempotency key: teams and routes do not share keys.
struct IdempotencyKey {
  ShardId shard;
  RouteName route;
  TeamName team;
  std::string key;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

enum class IdempotencyPhase {
  /// Waits for its intent to be read back from the log.
  kIntentPending,
  kRunning,
  /// An intent was read and no outcome: an owner may have run it.
  kMayHaveRun,
  kDone,
};

/// A caller that waits for the answer under a key.
struct IdempotencyWaiter {
  RequestKey request;
  std::uint32_t forward_attempt = 0;
  TimePoint deadline;
  /// Set when an earlier try of the caller may have run.
  bool may_have_run = false;
};

/// What is known of one idempotency key.
struct IdempotencyEntry {
  IdempotencyPhase phase = IdempotencyPhase::kRunning;
  bool idempotent = false;
  /// Hash of the request; a key must not be used for another one.
  std::uint64_t fingerprint = 0;
  /// Who logged the intent.
  ProcessId runner;
  PayloadPtr request;
  TimePoint deadline;
  std::vector<IdempotencyWaiter> waiters;
  /// The answer, when kDone.
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr answer;
  /// When the entry is forgotten, once it is kMayHaveRun or kDone.
  TimePoint evict_at;
};

/// The idempotency keys of the shards whose streams this process reads.
struct IdempotencyState {
  std::map<IdempotencyKey, IdempotencyEntry> entries;
  /// When to look for entries to forget.
  std::multimap<TimePoint, IdempotencyKey> evictions;
  /// When to look for waiters whose time is up.
  std::multimap<TimePoint, IdempotencyKey> deadlines;
  /// The runs under keys, as calls of this process to itself.
  std::map<CallId, IdempotencyKey> runs;
  std::uint64_t next_run = 1;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUEST_KEYS_H_
