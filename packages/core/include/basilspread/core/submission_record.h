#ifndef BASILSPREAD_CORE_SUBMISSION_RECORD_H_
#define BASILSPREAD_CORE_SUBMISSION_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/run_times.h"
#include "basilspread/core/submission.h"

namespace basilspread {

/// An accepted submission; immutable.
struct AcceptedRecord {
  SubmissionSpecPtr spec;
  /// The policy at acceptance, since the route may be removed later.
  QueuePolicy policy;
  /// Epoch of the leader that accepted it; 0: unknown.
  Epoch epoch = {};
  /// It exceeds the share of its workspace.
  bool is_beyond_share = false;
};

/// Persistent progress of a task.
struct TaskProgress {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool succeeded = false;
  /// Listed by number, since the record may be written while a later run is
  /// active.
  std::vector<Attempt> failed_runs;
  /// Highest run so far.
  Attempt run;
};

/// Progress of a submission; the newest record supersedes earlier ones.
struct ProgressRecord {
  SubmissionId id;
  /// kQueued or kRunning until the submission ends.
  SubmissionState state = SubmissionState::kQueued;
  /// Only tasks that succeeded or have failed runs; empty once the submission
  /// has ended.
  std::vector<TaskProgress> tasks;
  /// The submission was cancelled before it arrived, and is never accepted.
  bool cancelled_early = false;
};

/// The outcome of the submission is no longer retained.
struct ForgottenRecord {
  SubmissionId id;
};

/// The specification of an ended submission is no longer needed.
struct SpecDroppedRecord {
  SubmissionId id;
};

/// A worker on which tasks may be started from now on. Recorded because the
/// worker's own entry in the store may expire while tasks run there.
struct WorkerRecord {
  HostName worker;
  std::string address;
  /// Distinguishes restarts of a worker under one name.
  std::uint64_t incarnation = 0;
  /// Nothing is started there any more, and `runs` lists all that may run
  /// there. A record without this comes before the next start. Unset also for
  /// a worker with more runs than a record holds.
  bool is_closed = false;
  std::vector<RunName> runs = {};
  /// No leader of this epoch or a later one has started anything there; 0:
  /// unknown.
  Epoch unused_since = {};
};

/// The worker and everything that ran on it are gone.
struct WorkerGoneRecord {
  HostName worker;
};

/// A process that leads, or has led; the first record of each takeover. The
/// next leader waits until the permissions of those that it finds have ended.
struct LeaderRecord {
  ProcessId process;
  /// Address that peers connect to.
  std::string address;
  Epoch epoch;
  /// It cannot gain another proof of its leadership.
  bool has_ended = false;
  /// Upper bound of the time from this record's append until its leases have
  /// lapsed; unset: unknown.
  std::optional<Duration> lease_left = std::nullopt;
};

/// The permissions of the node's recorded leader have ended.
struct LeaderGoneRecord {
  NodeName node;
};

/// The leader's learned run times, for a start of the next leader with
/// estimates. Losing it loses only these.
struct RunTimesRecord {
  std::vector<std::pair<RunTimeKey, RunTimeSketch>> rows;
};

/// A durable record of the work log. A newer record replaces earlier ones of
/// the same kind and submission, worker or node.
using WorkRecord =
    std::variant<AcceptedRecord, ProgressRecord, ForgottenRecord,
                 SpecDroppedRecord, WorkerRecord, WorkerGoneRecord,
                 LeaderRecord, LeaderGoneRecord, RunTimesRecord>;

/// What a record is about, as its key tells.
using RecordSubject = std::variant<SubmissionId, HostName, NodeName>;

/// Upper bound on the record's size in the log, in bytes, with its key and
/// framing.
std::size_t MaxEncodedBytes(const WorkRecord& record);

/// Whether the log takes the worker's record and its readers accept it.
bool FitsLog(const WorkerRecord& record);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_RECORD_H_
