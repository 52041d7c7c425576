#ifndef BASILSPREAD_CORE_JOB_H_
#define BASILSPREAD_CORE_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/task.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Tasks of a job that reserve alike.
struct TaskGroup {
  std::uint32_t count = 1;
  Resources demand;

  friend bool operator==(const TaskGroup&, const TaskGroup&) = default;
};

/// A job as its caller submitted it.
struct JobSpec {
  JobId id;
  RouteName route;
  TeamName team;
  /// Higher goes first; from kUrgentPriority on it may preempt lower ones.
  std::int32_t priority = 0;
  std::vector<TaskGroup> tasks;
  /// Start all tasks or none.
  bool gang = false;
  bool service = false;
  /// What each task runs; opaque to the scheduler.
  std::string run;
  /// The caller's guess of a task's run time; zero when unknown.
  Duration expected_run_time{};
  /// Time from submission after which a waiting job is given up; zero: never.
  Duration deadline{};
  /// Failed attempts after which a task is given up.
  std::uint32_t max_attempts = 3;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

inline constexpr std::int32_t kUrgentPriority = 100;
inline constexpr std::uint32_t kMaxTasksPerJob = 1024;

enum class JobState {
  kWaiting,
  kStarting,
  kRunning,
  kFinished,
  kFailed,
  kCancelled,
};

/// What a caller is told of a job.
struct JobStatus {
  JobId id;
  JobState state = JobState::kWaiting;
  /// Why a waiting job waits, in plain words.
  std::string reason;
  std::uint32_t tasks = 0;
  std::uint32_t running = 0;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  /// Attempts of all tasks together.
  std::uint32_t attempts = 0;
};

/// Stable name for programs, for example "waiting".
const char* NameOf(JobState state);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOB_H_
