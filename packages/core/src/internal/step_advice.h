#ifndef BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_ADVICE_H_

#include <cstdint>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which workers an advisor allows a step to run on.
namespace basilspread::internal::step_advice {

/// A worker with room, and for how many tasks of the step.
struct Candidate {
  const FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
};

/// Whether the worker may be used for the step now.
bool IsAllowed(const Context& context, const StepState& step,
               const HostName& worker);
/// Asks about some of the workers, unless a question is open. `needed` tasks
/// are to be placed.
void Ask(Context& context, Submission& submission, std::uint32_t step,
         std::vector<Candidate> candidates, std::uint32_t needed);
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
