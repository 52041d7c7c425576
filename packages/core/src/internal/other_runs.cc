#include "internal/other_runs.h"

#include <string_view>
#include <variant>

namespace basilspread::internal::other_runs {
namespace {

constexpr std::string_view kPart = "peer";

}  // namespace

bool IsForOther(const Context& context, const PeerReceived& event) {
  return event.incarnation != 0 &&
         event.incarnation != context.state.settings.self.incarnation;
}

void Drop(Context& context, const PeerReceived& event) {
  const char* kind = NameOf(event.message);
  context.Count(Metric::kMessagesForOtherRuns, kind);
  context.Log(LogLevel::kInfo, kPart,
              "Dropped a message for another run of this process.",
              {{"from", event.from.node.value},
               {"kind", kind},
               {"incarnation", event.incarnation}});
  if (const auto* call = std::get_if<SubmissionCall>(&event.message)) {
    // The caller looks for the leader at once instead of waiting for an answer.
    SubmissionAnswer answer;
    answer.call = call->call;
    answer.kind = ErrorKind::kNotOwner;
    Send(context, event.from, answer);
  }
}

}  // namespace basilspread::internal::other_runs
