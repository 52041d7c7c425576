#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Calls of callers: taken by any process, answered by the leader.
namespace basilspread::internal::submission_calls {

void Start(Context& context);
void OnArrived(Context& context, const SubmissionCallArrived& event);
void OnCallerGone(Context& context, const CallerDisconnected& event);
void OnTimer(Context& context);
/// `from`: the process that answers.
void OnAnswer(Context& context, const NodeName& from,
              const SubmissionAnswer& answer);
void OnMessageNotSent(Context& context, const PeerMessageNotSent& event);
void OnLinkChanged(Context& context, const PeerLinkChanged& event);
/// Another process leads, or none.
void OnLeaderChanged(Context& context);
/// Tells the leader that this process lives and asks for advice.
void Report(Context& context);

/// This process came to lead.
void OnLeading(Context& context);
/// Forgets what only a leader may know.
void DropLeaderState(Context& context);
void OnStopRequested(Context& context);
void OnStopTimer(Context& context);

}  // namespace basilspread::internal::submission_calls

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_CALLS_H_
