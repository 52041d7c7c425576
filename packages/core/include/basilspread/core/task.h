#ifndef BASILSPREAD_CORE_TASK_H_
#define BASILSPREAD_CORE_TASK_H_

#include <compare>
#include <cstdint>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Names one start of a task. Starts are idempotent by this name.
struct TaskAttempt {
  TaskId task;
  Attempt attempt;

  friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
};

/// How an attempt ended.
enum class TaskResult {
  /// It has not ended.
  kNone,
  kSucceeded,
  /// The task ran and failed, or the worker could not start it.
  kFailed,
  /// Stopped on request; the worker refuses the attempt from now on.
  kStopped,
  /// It never started and never will.
  kNotStarted,
  /// Its lease has surely lapsed on a worker that is silent.
  kLost,
};

/// Everything that a worker and a shard's owner need to run an attempt.
struct TaskStart {
  TaskAttempt name;
  HostName worker;
  /// Epoch of the worker's shard under which the room was granted.
  Epoch granted_by;
  Resources reserved;
  std::int32_t priority = 0;
  /// Runs until it is stopped; moved when its worker leaves.
  bool service = false;
  /// What to run; opaque to the scheduler.
  std::string command;
};

/// What is known of an attempt where it was placed.
struct TaskReport {
  TaskAttempt name;
  HostName worker;
  bool running = false;
  TaskResult result = TaskResult::kNone;
  std::string detail;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TASK_H_
