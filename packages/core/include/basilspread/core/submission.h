#ifndef BASILSPREAD_CORE_SUBMISSION_H_
#define BASILSPREAD_CORE_SUBMISSION_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// A group of identical tasks of a submission.
struct StepSpec {
  std::uint32_t count = 1;
  /// What each task reserves.
  Resources demand;
  /// The caller's estimate of a task's run time; zero when unknown.
  Duration expected_run_time{};
  /// Indices of the earlier steps that must have succeeded first.
  std::vector<std::uint32_t> after;
  /// The tasks write checkpoints from which a later run can resume.
  bool checkpoints = false;
  /// Gang-scheduled: the tasks make progress only while all of them run.
  bool gang = false;
  /// The tasks run slower when spread over several racks.
  bool rack_local = false;
  /// Several copies of a task may run in parallel.
  bool speculative = false;
  /// The tasks run until the submission is cancelled, and restart however their
  /// runs end.
  bool long_running = false;
  /// Uses only idle processor time and reserves none.
  bool fills_idle_cpu = false;
  /// Label that the worker must have; empty for any worker.
  std::string required_label;
  /// Rack that holds the step's data; empty for no preference.
  RackName data_rack;
  /// Most tasks of the step on one worker; zero for no limit.
  std::uint32_t max_per_worker = 0;
  /// Image that the tasks run. Tasks of one image behave alike.
  std::string image;
  /// Bound on the tail latency of a long-running task.
  Duration target_latency{};
  /// Most tasks of a long-running step that the scheduler may take down at
  /// once.
  std::uint32_t max_unavailable = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// A submission as the caller specified it.
struct SubmissionSpec
    : boost::intrusive_ref_counter<SubmissionSpec, boost::thread_safe_counter> {
  SubmissionId id;
  RouteName route;
  /// Workspace whose key submitted it; empty: submitted without a key.
  WorkspaceName workspace = {};
  /// Command of the tasks; opaque to the scheduler.
  std::string command;
  std::vector<StepSpec> steps;
  /// Number of scheduled repetitions of the steps; zero to run once,
  /// immediately.
  std::uint32_t repetitions = 0;
};

/// Features of a specification that are not implemented, and combinations of
/// features that can never run.
enum class UnsupportedFeature {
  kNone,
  kRepetitions,
  kIdleCpu,
  /// A gang ends as a whole, and long-running tasks do not end.
  kLongRunningGang,
  /// A step that depends on a long-running one would never start.
  kAfterLongRunning,
  /// The quota of the workspace cannot hold all members at once.
  kGangBeyondQuota,
};

using SubmissionSpecPtr = boost::intrusive_ptr<const SubmissionSpec>;

enum class SubmissionState {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

/// Whether the state is terminal.
constexpr bool HasEnded(SubmissionState state) {
  return state == SubmissionState::kCompleted ||
         state == SubmissionState::kFailed ||
         state == SubmissionState::kCancelled;
}

/// Stable name for programs, for example "queued".
const char* NameOf(SubmissionState state);

/// One task of a submission.
struct StepTask {
  SubmissionId submission;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const StepTask&, const StepTask&) = default;
};

/// Identifies one run of a task. Starting a run is idempotent by this name.
struct RunName {
  StepTask task;
  Attempt run;

  friend auto operator<=>(const RunName&, const RunName&) = default;
};

/// Formats the name for logs as "ID.STEP.INDEX#RUN".
std::string ToString(const RunName& name);

/// The first feature of the specification that is not supported, or kNone.
UnsupportedFeature FindUnsupported(const SubmissionSpec& spec);

/// Operation of a caller on a submission or on a route's queue.
enum class SubmissionOperation { kSubmit, kStatus, kCancel, kCountWaiting };

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_H_
