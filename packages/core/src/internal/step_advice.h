#ifndef BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Which workers an advisor allows a step to run on.
namespace basilspread::internal::step_advice {

/// Asks about workers for the step's waiting tasks, if that may help: there is
/// room that nobody more urgent looks for, no question is open, and a line of
/// the advisor is short.
void Seek(Context& context, step_offers::Round& round);
void OnGiven(Context& context, const AdviceGiven& event);
/// Gives up on questions without an answer.
void OnTimer(Context& context);

/// A process offers to ask for the leader.
void OnHelper(Context& context, const ProcessId& from,
              const HelperReport& report);
/// The leader has this process ask.
void OnCall(Context& context, const ProcessId& from, const AdviceCall& call);
void OnAnswer(Context& context, const AdviceAnswer& answer);
void OnHelperGone(Context& context, const NodeName& node);

}  // namespace basilspread::internal::step_advice

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_
