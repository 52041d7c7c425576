#include "internal/requests_answer.h"

#include <utility>

#include "internal/other_runs.h"
#include "internal/requests_keys.h"

namespace basilspread::internal::requests {

Outcome AccountForEarlierAttempts(Outcome outcome, bool may_have_run) {
  const Execution execution = AnswerFor(outcome.kind).execution;
  if (may_have_run && execution == Execution::kNotRun) {
    outcome.detail = "an earlier attempt may have run; the last one ended as " +
                     std::string(AnswerFor(outcome.kind).name);
    outcome.kind = ErrorKind::kOutcomeUnknown;
  }
  return outcome;
}

void Answer(Context& context, const RequestKey& key,
            std::uint32_t forward_attempt, Outcome outcome) {
  if (key.origin != context.state.settings.self) {
    ForwardAnswer answer;
    answer.call = key.call;
    answer.attempt = forward_attempt;
    answer.kind = outcome.kind;
    answer.detail = std::move(outcome.detail);
    answer.payload = std::move(outcome.payload);
    other_runs::Send(context, key.origin, std::move(answer));
    return;
  }
  if (IsKeyRun(context, key.call)) {
    OnKeyRunEnded(context, key.call, outcome);
    return;
  }
  context.Emit(AnswerCaller{key.call, outcome.kind, std::move(outcome.detail),
                            std::move(outcome.payload)});
}

void Finish(Context& context, const RequestPtr& request, Outcome outcome) {
  context.state.requests.requests.erase(request->key);
  Answer(context, request->key, request->forward_attempt,
         AccountForEarlierAttempts(std::move(outcome), request->may_have_run));
}

}  // namespace basilspread::internal::requests
