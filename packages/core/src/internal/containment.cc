#include "internal/containment.h"

#include <exception>
#include <string_view>
#include <variant>

#include "internal/leadership.h"

namespace basilspread::internal::containment {
namespace {

constexpr std::string_view kPart = "reducer";
/// A timer that its handler did not arm again. Long enough not to spin if the
/// handler fails each time, and short against every time-out.
constexpr Duration kTimerRetryDelay = std::chrono::milliseconds(100);

void AnswerCaller(Context& context, const SubmissionCallArrived& call) {
  context.state.submissions.calls.erase(call.call);
  SubmissionAnswer answer;
  answer.call = call.call;
  answer.operation = call.operation;
  answer.kind = ErrorKind::kInternal;
  context.Emit(AnswerSubmissionCaller{answer});
}

void Recover(Context& context, const Event& event, std::string_view reason) {
  context.Log(LogLevel::kError, kPart,
              "Handling an event failed; the process goes on without it.",
              {{"event", NameOf(event.body)}, {"reason", reason}});
  context.Count(Metric::kHandlingErrors, NameOf(event.body));
  if (const auto* call = std::get_if<SubmissionCallArrived>(&event.body)) {
    AnswerCaller(context, *call);
  }
  if (const auto* timer = std::get_if<TimerFired>(&event.body)) {
    context.ArmIn(timer->kind, kTimerRetryDelay);
  }
  if (context.state.submissions.leadership.holds_leadership) {
    // The handler may have left the leader's state half changed. The next
    // leader rebuilds it from the work log and the workers.
    leadership::Leave(context, "handling an event failed");
  }
}

}  // namespace

void Run(Context& context, const Event& event,
         const std::function<void()>& handler) {
  try {
    handler();
  } catch (const std::exception& exception) {
    Recover(context, event, exception.what());
  }
}

}  // namespace basilspread::internal::containment
