#ifndef BASILSPREAD_CORE_SUBMISSION_RECORD_H_
#define BASILSPREAD_CORE_SUBMISSION_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submission.h"

namespace basilspread {

/// An accepted submission, as it is kept; never changes.
struct AcceptedRecord {
  SubmissionSpecPtr spec;
  /// The policy at acceptance, for when the route has been removed since.
  QueuePolicy policy;
};

/// What is kept of a task beside its submission.
struct TaskProgress {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool succeeded = false;
  /// By number, since a record may be written while a later run goes on.
  std::vector<Attempt> failed_runs;
  /// Highest run so far.
  Attempt run;
};

/// What has happened to a submission; the newest counts.
struct ProgressRecord {
  SubmissionId id;
  /// kQueued or kRunning while it has not ended.
  SubmissionState state = SubmissionState::kQueued;
  /// Only tasks of which an end is known.
  std::vector<TaskProgress> tasks;
};

/// The submission's fate is no longer told.
struct ForgottenRecord {
  SubmissionId id;
};

/// The specification of an ended submission is no longer needed.
struct SpecDroppedRecord {
  SubmissionId id;
};

/// A worker on which tasks may be started from now on. Its own entry in the
/// store may lapse while it runs them.
struct WorkerRecord {
  HostName worker;
  std::string address;
  /// Tells the lives of a worker under one name apart.
  std::uint64_t incarnation = 0;
};

/// The worker is gone, and all that ran there.
struct WorkerGoneRecord {
  HostName worker;
};

/// A record of the work that must last. Records of one kind and submission, or
/// worker, replace each other.
using WorkRecord =
    std::variant<AcceptedRecord, ProgressRecord, ForgottenRecord,
                 SpecDroppedRecord, WorkerRecord, WorkerGoneRecord>;

/// What the record takes in the log at most, with its key and its framing.
std::size_t MaxEncodedBytes(const WorkRecord& record);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_RECORD_H_
