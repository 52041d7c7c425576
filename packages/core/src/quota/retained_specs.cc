#include "quota/retained_specs.h"

#include <vector>

#include "internal/queue_tables.h"
#include "internal/submission_progress.h"
#include "internal/work_log.h"
#include "takeover_wait/inherited_work.h"

namespace basilspread::internal::retained_specs {
namespace {

QuotaState& StateOf(Context& context) {
  return context.state.submissions.quota;
}

/// Whether runs of the submission may exist: on a worker that has answered, or
/// on one that has not.
bool MayHaveRuns(const Context& context, const Submission& submission) {
  return context.state.submissions.quota.runs.contains(submission.id) ||
         (submission.inherited && !takeover_wait::MayStartAll(context));
}

}  // namespace

bool Retain(Context& context, const Submission& submission) {
  const bool is_needed = queue_tables::HasWorkspaces(context) &&
                         submission.spec && HasEnded(submission.state) &&
                         MayHaveRuns(context, submission);
  if (is_needed) {
    StateOf(context).retained_specs.insert(submission.id);
  } else {
    StateOf(context).retained_specs.erase(submission.id);
  }
  return is_needed;
}

void OnLoaded(Context& context, const Submission& submission) {
  StateOf(context).retained_specs.insert(submission.id);
}

void DropUnneeded(Context& context) {
  for (const SubmissionId& id : StateOf(context).retained_specs) {
    const Submission* submission = submission_progress::Find(context, id);
    if (submission != nullptr && !MayHaveRuns(context, *submission)) {
      work_log::Change(context, id);
    }
  }
}

bool IsRetained(const Context& context, const SubmissionId& id) {
  return context.state.submissions.quota.retained_specs.contains(id);
}

}  // namespace basilspread::internal::retained_specs
