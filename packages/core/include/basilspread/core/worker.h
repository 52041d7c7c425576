#ifndef BASILSPREAD_CORE_WORKER_H_
#define BASILSPREAD_CORE_WORKER_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/task.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Maximum number of calls to workers in flight from one process.
inline constexpr std::size_t kMaxWorkerCalls = 48;

/// Starts an attempt, unless the worker already has it or has stopped it.
struct StartTask {
  TaskStart start;
};

/// Stops an attempt, which the worker then refuses to start.
struct StopTask {
  TaskAttempt name;
};

/// Makes the task save its progress.
struct CheckpointTask {
  TaskAttempt name;
};

/// Renews the leases of attempts.
struct RenewTasks {
  std::vector<TaskAttempt> tasks;
};

using WorkerCommand =
    std::variant<StartTask, StopTask, CheckpointTask, RenewTasks>;

/// Makes one call to a worker and reports with WorkerAnswered. The call first
/// raises the worker's epoch, then runs the commands in order, then lists the
/// worker's tasks.
struct CallWorker {
  HostName worker;
  std::string address;
  ShardId shard;
  Epoch epoch;
  /// Lease of every task that the call starts or renews.
  Duration lease{};
  std::vector<WorkerCommand> commands;
  /// The call must not be sent after this; checked immediately before the
  /// write.
  TimePoint not_after;
  /// The call times out at this point.
  TimePoint deadline;
};

/// How a call to a worker ended.
enum class WorkerResult {
  kAnswered,
  /// The worker has seen a higher epoch and did nothing.
  kFenced,
  /// `not_after` had passed, or no byte was written.
  kNotSent,
  /// Bytes may have been sent, and no complete answer arrived.
  kLost,
};

enum class TaskCondition { kRunning, kSucceeded, kFailed, kStopped };

/// A task in a worker's list.
struct ListedTask {
  TaskAttempt name;
  TaskCondition condition = TaskCondition::kRunning;
  std::string detail;
};

struct WorkerAnswered {
  HostName worker;
  ShardId shard;
  /// The epoch under which the call was made.
  Epoch epoch;
  WorkerResult result = WorkerResult::kLost;
  /// The epoch that the worker has; set with kAnswered and kFenced.
  Epoch worker_epoch;
  /// All tasks that the worker knows, including stopped ones.
  std::vector<ListedTask> tasks;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_WORKER_H_
