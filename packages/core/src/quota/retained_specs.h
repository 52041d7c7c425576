#ifndef BASILSPREAD_CORE_QUOTA_RETAINED_SPECS_H_
#define BASILSPREAD_CORE_QUOTA_RETAINED_SPECS_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Specifications that the work log keeps beyond the end of their submissions.
/// Runs that are being stopped count for the quota of their workspace, also at
/// a leader that takes over meanwhile, and only the specification tells the
/// workspace and what they reserve.
namespace basilspread::internal::retained_specs {

/// Whether the log is to keep the specification of the ended submission now.
/// Notes it if so.
bool Retain(Context& context, const Submission& submission);

/// The log has the specification of an ended submission.
void OnLoaded(Context& context, const Submission& submission);

/// Has the log drop those that are no longer needed.
void DropUnneeded(Context& context);

bool IsRetained(const Context& context, const SubmissionId& id);

}  // namespace basilspread::internal::retained_specs

#endif  // BASILSPREAD_CORE_QUOTA_RETAINED_SPECS_H_
