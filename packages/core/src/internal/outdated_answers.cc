#include "internal/outdated_answers.h"

#include <string_view>

#include "internal/fleet_polls.h"

namespace basilspread::internal::outdated_answers {
namespace {

constexpr std::string_view kPart = "leadership";

bool Check(Context& context, Epoch asked, std::string_view call) {
  const LeadershipState& state = context.state.submissions.leadership;
  if (asked == state.epoch) {
    return false;
  }
  context.Count(Metric::kOutdatedAnswers, call);
  context.Log(LogLevel::kInfo, kPart,
              "An answer to a call of an earlier takeover arrived.",
              {{"call", call},
               {"epoch_of_call", asked.value},
               {"epoch", state.epoch.value},
               {"phase", NameOf(state.phase)}});
  return true;
}

}  // namespace

bool IsOutdated(Context& context, const WorkListed& event) {
  return Check(context, event.epoch, "list-work");
}

bool IsOutdated(Context& context, const FleetRead& event) {
  return Check(context, event.epoch, "read-fleet");
}

bool IsOutdated(Context& context, const WorkerPolled& event) {
  return Check(context, fleet::polls::EpochOf(event.fence), "poll");
}

bool IsOutdated(Context& context, const RunOrdered& event) {
  return Check(context, fleet::polls::EpochOf(event.fence),
               event.is_stop ? "stop" : "start");
}

}  // namespace basilspread::internal::outdated_answers
