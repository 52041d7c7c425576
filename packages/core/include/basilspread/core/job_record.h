#ifndef BASILSPREAD_CORE_JOB_RECORD_H_
#define BASILSPREAD_CORE_JOB_RECORD_H_

#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/job.h"
#include "basilspread/core/task.h"

namespace basilspread {

/// The last that is known of one task, in a JobRecord.
struct TaskRecord {
  Attempt attempt;
  TaskResult result = TaskResult::kNone;
  /// Attempts that failed so far.
  std::uint32_t failures = 0;
  HostName worker;
  /// Shard that the attempt was placed in.
  ShardId place;
  /// Epoch of the place when it granted the room.
  Epoch granted_by;
};

/// Accepts a job, or states it anew before older records expire. Records of
/// an epoch other than the shard's own at their offset are void.
struct JobRecord {
  ShardId shard;
  Epoch epoch;
  JobSpec spec;
  bool cancelled = false;
  /// By index; empty when the job is new.
  std::vector<TaskRecord> tasks;
};

/// Precedes a start. It stands in the stream of the job's home shard, and in
/// that of the worker's shard when the two differ.
struct IntentRecord {
  ShardId shard;
  Epoch epoch;
  ShardId home;
  ShardId place;
  TaskStart start;
};

/// Ends an attempt, in the same streams as its intent.
struct OutcomeRecord {
  ShardId shard;
  Epoch epoch;
  ShardId home;
  TaskAttempt name;
  TaskResult result = TaskResult::kNone;
  std::string detail;
};

/// Cancels jobs of the shard.
struct CancelRecord {
  ShardId shard;
  Epoch epoch;
  std::vector<JobId> jobs;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOB_RECORD_H_
