#ifndef BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Queries to the advisor about the workers that a step may run on.
namespace basilspread::internal::step_advice {

/// Queries the advisor about workers for the step's waiting tasks. Does nothing
/// while a query of the step is outstanding, while queries of more urgent
/// submissions account for all free capacity, or while every asker's backlog is
/// full.
void RequestAdvice(Context& context, step_offers::PendingStep& pending);
void OnGiven(Context& context, const AdviceGiven& event);
/// Times out queries without an answer.
void OnTimer(Context& context);

/// A process offers to query the advisor for the leader.
void OnHelper(Context& context, const ProcessId& from,
              const HelperReport& report);
/// The leader delegates a query to this process.
void OnCall(Context& context, const ProcessId& from, const AdviceCall& call);
void OnAnswer(Context& context, const AdviceAnswer& answer);
void OnHelperGone(Context& context, const NodeName& node);

}  // namespace basilspread::internal::step_advice

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_
