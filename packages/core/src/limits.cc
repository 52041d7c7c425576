#include "basilspread/core/limits.h"

#include <algorithm>

namespace basilspread::limits {
namespace {

bool IsWithin(const StepSpec& step, std::size_t index) {
  const bool is_after_earlier =
      step.after.size() <= index &&
      std::all_of(step.after.begin(), step.after.end(),
                  [index](std::uint32_t earlier) { return earlier < index; });
  return is_after_earlier && step.count > 0 && step.count <= kMaxTasks &&
         limits::IsWithin(step.demand) &&
         limits::IsWithin(step.expected_run_time, kMaxExpectedWork) &&
         limits::IsWithin(step.target_latency, kMaxTargetLatency) &&
         step.required_label.size() <= kMaxNameBytes &&
         step.data_rack.value.size() <= kMaxNameBytes &&
         step.image.size() <= kMaxNameBytes;
}

}  // namespace

bool IsWithin(const SubmissionSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps ||
      spec.command.size() > kMaxTextBytes ||
      spec.id.value.size() > kMaxNameBytes ||
      spec.route.value.size() > kMaxNameBytes ||
      spec.workspace.value.size() > kMaxNameBytes) {
    return false;
  }
  // Neither sum can overflow: there are at most 64 steps, each within bounds.
  std::uint32_t tasks = 0;
  Duration work{};
  for (std::size_t index = 0; index < spec.steps.size(); ++index) {
    const StepSpec& step = spec.steps[index];
    if (!IsWithin(step, index)) {
      return false;
    }
    tasks += step.count;
    work += step.expected_run_time;
  }
  return tasks <= kMaxTasks && work <= kMaxExpectedWork;
}

}  // namespace basilspread::limits
