#ifndef BASILSPREAD_CORE_FAIR_ORDER_SHARE_H_
#define BASILSPREAD_CORE_FAIR_ORDER_SHARE_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// The share of each workspace, in submissions per second. Submissions beyond
/// it are served from what others leave unused.
namespace basilspread::internal::fair_order {

/// Whether one more submission of the workspace would be beyond its share. A
/// workspace without a weight has no limit, nor do callers without a workspace.
bool IsBeyondShare(Context& context, const WorkspaceName& name);

/// Counts a submission that is taken on, by its `is_beyond_share`.
void OnAdmitted(Context& context, const Submission& submission);
/// Undoes OnAdmitted, since the submission's record was not stored.
void OnNotAccepted(Context& context, const Submission& submission);

}  // namespace basilspread::internal::fair_order

#endif  // BASILSPREAD_CORE_FAIR_ORDER_SHARE_H_
