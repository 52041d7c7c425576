#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_SERVICE_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_SERVICE_H_

#include "basilspread/core/submission_message.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Leader's side of callers' requests about submissions.
namespace basilspread::internal::service {

void OnCall(Context& context, const ProcessId& from,
            const SubmissionCall& message);
/// The record of a new submission is stored.
void OnAccepted(Context& context, const SubmissionId& id);
/// The submission is not stored and never will be.
void OnNotAccepted(Context& context, const SubmissionId& id, ErrorKind kind);
/// The submission's state is stored as `state`.
void OnChangeStored(Context& context, const SubmissionId& id,
                    SubmissionState state);
/// Updates gauges and removes submissions whose status retention has expired.
void OnTimer(Context& context);

}  // namespace basilspread::internal::service

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_SERVICE_H_
