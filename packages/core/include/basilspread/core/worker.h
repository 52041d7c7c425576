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

/// Calls to workers that one process has under way at most.
inline constexpr std::size_t kMaxWorkerCalls = 48;

/// Starts an attempt, unless the worker has it or has stopped it.
struct StartTask {
  TaskStart start;
};

/// Ends an attempt and has it refused from now on.
struct StopTask {
  TaskAttempt name;
};

/// Has the task save its progress.
struct CheckpointTask {
  TaskAttempt name;
};

/// Prolongs the leases of attempts.
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
  /// Not written after this point; checked immediately before the write.
  TimePoint not_after;
  /// The exchange is given up at this point.
  TimePoint deadline;
};

/// How a call to a worker ended.
enum class WorkerResult {
  kAnswered,
  /// The worker has seen a higher epoch and did nothing.
  kFenced,
  /// The point `not_after` had passed, or no byte was written.
  kNotSent,
  /// Bytes may have left and no whole answer came.
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
  /// The epoch that the call was made under.
  Epoch epoch;
  WorkerResult result = WorkerResult::kLost;
  /// The epoch that the worker has; set with kAnswered and kFenced.
  Epoch worker_epoch;
  /// All tasks that the worker knows, the stopped ones too.
  std::vector<ListedTask> tasks;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_WORKER_H_
