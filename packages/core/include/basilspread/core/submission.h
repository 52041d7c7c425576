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

/// Tasks of a submission that are alike.
struct StepSpec {
  std::uint32_t count = 1;
  /// What each task reserves.
  Resources demand;
  /// The caller's guess of a task's run time; zero when unknown.
  Duration expected_run_time{};
  /// Indices of earlier steps whose tasks must all have succeeded first.
  std::vector<std::uint32_t> after;
  /// Saves its progress, so that a later run can resume.
  bool checkpoints = false;
  /// The tasks work only while all of them run.
  bool gang = false;
  /// Runs slower when spread over several racks.
  bool rack_local = false;
  /// Copies of a task may run in parallel.
  bool speculative = false;
  /// Runs until the submission is cancelled.
  bool long_running = false;
  /// Uses only the processor time that other tasks leave; reserves none.
  bool fills_idle_cpu = false;
  /// A label that the worker must have; empty: any worker.
  std::string required_label;
  /// Where the step's data is; empty: anywhere.
  RackName data_rack;
  /// Tasks of the step that one worker may run; zero: no limit.
  std::uint32_t max_per_worker = 0;
  /// What the tasks run. Tasks of one image behave alike.
  std::string image;
  /// Bound of the tail of a long-running task's response times.
  Duration target_latency{};
  /// Tasks of a long-running step that may be away at once by our doing.
  std::uint32_t max_unavailable = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// A submission as its caller handed it in.
struct SubmissionSpec
    : boost::intrusive_ref_counter<SubmissionSpec, boost::thread_safe_counter> {
  SubmissionId id;
  RouteName route;
  /// What the tasks run; opaque to the scheduler.
  std::string command;
  std::vector<StepSpec> steps;
  /// How often the steps run by the clock; zero: once, at once.
  std::uint32_t repetitions = 0;
};

using SubmissionSpecPtr = boost::intrusive_ptr<const SubmissionSpec>;

enum class SubmissionState {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

/// Whether the state is final.
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

/// One start of a task. Starts are idempotent by this name.
struct RunName {
  StepTask task;
  Attempt run;

  friend auto operator<=>(const RunName&, const RunName&) = default;
};

/// Written "ID.STEP.INDEX#RUN" in logs.
std::string ToString(const RunName& name);

/// What a caller asks of a submission or of a route's queue.
enum class SubmissionOperation { kSubmit, kStatus, kCancel, kCountWaiting };

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_H_
