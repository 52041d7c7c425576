#ifndef BASILSPREAD_CORE_JOB_MESSAGE_H_
#define BASILSPREAD_CORE_JOB_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/job.h"
#include "basilspread/core/task.h"
#include "basilspread/core/time.h"

namespace basilspread {

enum class JobOperation { kSubmit, kStatus, kCancel, kList, kWait };

/// Passes a caller's job call to the owner of a home shard.
struct JobCall {
  CallId call;
  JobOperation operation = JobOperation::kStatus;
  ShardId shard;
  /// Set with kSubmit; of the other operations only its id.
  JobSpec spec;
  /// What is left of the time that the caller waits.
  Duration time_left{};
};

/// The owner's answer to JobCall.
struct JobAnswer {
  CallId call;
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  std::vector<JobStatus> jobs;
};

/// Names a reservation by the process that asked for it.
struct HoldId {
  ProcessId holder;
  std::uint64_t number = 0;

  friend auto operator<=>(const HoldId&, const HoldId&) = default;
};

struct TaskDemand {
  TaskAttempt name;
  Resources demand;
};

/// Asks the owner of `place` to hold room for all of these tasks, or none.
struct ReserveTasks {
  HoldId hold;
  ShardId home;
  Epoch home_epoch;
  ShardId place;
  std::vector<TaskDemand> tasks;
  /// How long the room is held without a ConfirmTasks.
  Duration hold_for{};
};

struct TaskGrant {
  TaskAttempt name;
  HostName worker;
  /// Epoch of the owner that granted the room.
  Epoch granted_by;
};

/// The answer to ReserveTasks; no grants when there is no room.
struct ReserveAnswer {
  HoldId hold;
  ShardId place;
  std::vector<TaskGrant> grants;
};

/// Starts what was reserved. Sent again until it is reported on; an owner
/// that knows neither the hold nor the attempt reports kNotStarted, unless a
/// later owner than itself granted the room.
struct ConfirmTasks {
  HoldId hold;
  ShardId home;
  Epoch home_epoch;
  ShardId place;
  std::vector<TaskStart> tasks;
};

struct ReleaseHold {
  HoldId hold;
  ShardId place;
};

/// Stops attempts that were placed for another shard's jobs.
struct StopTasks {
  ShardId home;
  Epoch home_epoch;
  ShardId place;
  std::vector<TaskAttempt> tasks;
};

/// Tells a job's home what became of its tasks; outcomes until acknowledged.
struct TaskReports {
  ShardId place;
  ShardId home;
  std::vector<TaskReport> tasks;
};

/// The outcomes stand in the home's stream, or the home knows no such task.
struct TaskReportsAck {
  ShardId place;
  ShardId home;
  std::vector<TaskAttempt> tasks;
};

/// What a team has reserved, as one process counts it for its home shards.
struct TeamUsage {
  TeamName team;
  Resources reserved;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOB_MESSAGE_H_
