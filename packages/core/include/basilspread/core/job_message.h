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
  /// Complete with kSubmit; with the other operations only the id is set.
  JobSpec spec;
  /// Remaining time that the caller waits.
  Duration time_left{};
};

/// The owner's answer to JobCall.
struct JobAnswer {
  CallId call;
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  std::vector<JobStatus> jobs;
};

/// Names a reservation of capacity by the process that asked for it.
struct HoldId {
  ProcessId holder;
  std::uint64_t number = 0;

  friend auto operator<=>(const HoldId&, const HoldId&) = default;
};

struct TaskDemand {
  TaskAttempt name;
  Resources demand;
};

/// Asks the owner of the shard `place` to hold capacity for all of the tasks,
/// or for none.
struct ReserveTasks {
  HoldId hold;
  ShardId home;
  Epoch home_epoch;
  ShardId place;
  std::vector<TaskDemand> tasks;
  /// How long the capacity is held without a ConfirmTasks.
  Duration hold_for{};
};

struct TaskGrant {
  TaskAttempt name;
  HostName worker;
  /// Epoch of the owner that granted the capacity.
  Epoch granted_by;
};

/// The answer to ReserveTasks; without grants when capacity is missing.
struct ReserveAnswer {
  HoldId hold;
  ShardId place;
  std::vector<TaskGrant> grants;
};

/// Starts tasks on reserved capacity. It is repeated until a TaskReports
/// answers it. An owner that knows neither the hold nor the attempt reports
/// kNotStarted, unless an owner with a higher epoch granted the capacity.
struct ConfirmTasks {
  HoldId hold;
  ShardId home;
  Epoch home_epoch;
  ShardId place;
  std::vector<TaskStart> tasks;
};

/// Returns held capacity that is not going to be used.
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

/// Reports the state of tasks to the home shard of their job. Outcomes are
/// repeated until acknowledged.
struct TaskReports {
  ShardId place;
  ShardId home;
  std::vector<TaskReport> tasks;
};

/// Acknowledges outcomes: they are stored in the home shard's stream, or the
/// home shard has no such task.
struct TaskReportsAck {
  ShardId place;
  ShardId home;
  std::vector<TaskAttempt> tasks;
};

/// What the jobs of a team have reserved, as one process counts it for the home
/// shards that it owns.
struct TeamUsage {
  TeamName team;
  Resources reserved;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOB_MESSAGE_H_
