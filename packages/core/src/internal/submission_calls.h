#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Callers' requests: accepted by any process, answered by the leader.
namespace basilspread::internal::submission_calls {

void Start(Context& context);
void OnArrived(Context& context, const SubmissionCallArrived& event);
void OnCallerGone(Context& context, const CallerDisconnected& event);
void OnTimer(Context& context);
/// Handles a response from the process `from`.
void OnAnswer(Context& context, const ProcessId& from,
              const SubmissionAnswer& answer);
void OnMessageNotSent(Context& context, const PeerMessageNotSent& event);
void OnLinkChanged(Context& context, const PeerLinkChanged& event);
/// The leader has changed or is unknown.
void OnLeaderChanged(Context& context);
/// Sends this process's HelperReport to the leader.
void Report(Context& context);

/// This process has become the leader.
void OnLeading(Context& context);
/// Clears the state that only a leader keeps.
void DropLeaderState(Context& context);
void OnStopRequested(Context& context);
void OnStopTimer(Context& context);

}  // namespace basilspread::internal::submission_calls

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_
