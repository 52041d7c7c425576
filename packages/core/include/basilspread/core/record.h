#ifndef BASILSPREAD_CORE_RECORD_H_
#define BASILSPREAD_CORE_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/job_record.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/tables.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// An operator's edit. In force only if `base` is the version before it.
struct TablesRecord {
  TablesVersion base;
  std::string author;
  /// The tables as the operator wrote them.
  std::string route_table;
  std::string pool_table;
};

/// Repeats the accepted tables before the record that made them expires. The
/// first version that a reader does not know yet counts, older ones do not.
struct TablesCheckpointRecord {
  TablesVersion version;
  /// The edit that made the version.
  TablesRecord record;
  /// The writer had judged every edit before this offset.
  Offset covered;
};

/// Takes a shard over. The first claim of an epoch in log order wins.
struct ClaimRecord {
  ShardId shard;
  Epoch epoch;
  ProcessId claimant;
};

/// Gives a shard up after a drain and names who should claim it.
struct ReleaseRecord {
  ShardId shard;
  Epoch epoch;
  ProcessId owner;
  NodeName successor;
  /// How long slots stay in use by requests of an earlier owner.
  Duration unsettled{};
};

/// Repeats the claim in force, before its record expires.
struct CheckpointRecord {
  ShardId shard;
  Epoch epoch;
  ProcessId owner;
};

/// Tells later processes where this one is.
struct MemberRecord {
  ProcessId process;
  /// Where its peers connect to.
  std::string address;
  /// Written before a graceful exit.
  bool leaving = false;
};

/// Precedes the run of a non-idempotent request under an idempotency key.
struct KeyIntentRecord {
  ShardId shard;
  Epoch epoch;
  ProcessId runner;
  RouteName route;
  TeamName team;
  std::string key;
  /// Hash of the request.
  std::uint64_t fingerprint = 0;
};

/// Ends what a KeyIntentRecord began.
struct KeyOutcomeRecord {
  ShardId shard;
  ProcessId runner;
  RouteName route;
  TeamName team;
  std::string key;
  ErrorKind kind = ErrorKind::kNone;
  /// The answer; unset when it was too large to be kept.
  PayloadPtr answer;
};

using LogRecord =
    std::variant<TablesRecord, ClaimRecord, ReleaseRecord,
                 TablesCheckpointRecord, CheckpointRecord, MemberRecord,
                 JobRecord, IntentRecord, OutcomeRecord, CancelRecord,
                 KeyIntentRecord, KeyOutcomeRecord>;

/// What one append holds: the records of one writer, in order.
struct LogBatch {
  ProcessId writer;
  /// Number of this batch among the writer's; settles lost answers.
  AppendId id;
  std::vector<LogRecord> records;
};

/// A batch as it was read back.
struct StoredBatch {
  Offset offset;
  LogBatch batch;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RECORD_H_
