#ifndef BASILSPREAD_CORE_STATUS_WAIT_STATUS_WAIT_H_
#define BASILSPREAD_CORE_STATUS_WAIT_STATUS_WAIT_H_

#include <utility>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Long polling of the state of a submission: a status call shortly before the
/// end is answered once the end is stored, so that the caller learns of it
/// without another call.
namespace basilspread::internal::status_wait {

using Caller = std::pair<ProcessId, CallId>;

/// Registers the caller and returns true if its answer waits.
bool Hold(Context& context, Submission& submission, const Caller& caller);

/// A caller whose wait is over.
struct OverdueCaller {
  SubmissionPtr submission;
  Caller caller;
};

/// Removes and returns the callers whose wait is over.
std::vector<OverdueCaller> TakeOverdue(Context& context);

}  // namespace basilspread::internal::status_wait

#endif  // BASILSPREAD_CORE_STATUS_WAIT_STATUS_WAIT_H_
