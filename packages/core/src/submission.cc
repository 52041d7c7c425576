#include "basilspread/core/submission.h"

#include <fmt/format.h>

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/submissions.h"

namespace basilspread {

const char* NameOf(SubmissionState state) {
  switch (state) {
    case SubmissionState::kQueued:
      return "queued";
    case SubmissionState::kRunning:
      return "running";
    case SubmissionState::kCompleted:
      return "completed";
    case SubmissionState::kFailed:
      return "failed";
    case SubmissionState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

const char* NameOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNotConsidered:
      return "not-considered";
    case WaitReason::kAcceptance:
      return "acceptance";
    case WaitReason::kInherited:
      return "inherited";
    case WaitReason::kUnproven:
      return "unproven";
    case WaitReason::kUnknownOutcome:
      return "unknown-outcome";
    case WaitReason::kRestartDelay:
      return "restart-delay";
    case WaitReason::kAdvice:
      return "advice";
    case WaitReason::kAdvisorBusy:
      return "advisor-busy";
    case WaitReason::kGang:
      return "gang";
    case WaitReason::kBeyondPool:
      return "beyond-pool";
    case WaitReason::kQuota:
      return "quota";
    case WaitReason::kBeyondQuota:
      return "beyond-quota";
    case WaitReason::kRoom:
      return "room";
  }
  return "unknown";
}

UnsupportedFeature FindUnsupported(const SubmissionSpec& spec) {
  if (spec.repetitions > 0) {
    return UnsupportedFeature::kRepetitions;
  }
  for (const StepSpec& step : spec.steps) {
    if (step.fills_idle_cpu) {
      return UnsupportedFeature::kIdleCpu;
    }
    if (step.long_running && step.gang) {
      return UnsupportedFeature::kLongRunningGang;
    }
    for (const std::uint32_t earlier : step.after) {
      if (spec.steps.at(earlier).long_running) {
        return UnsupportedFeature::kAfterLongRunning;
      }
    }
  }
  return UnsupportedFeature::kNone;
}

std::string ToString(const RunName& name) {
  return fmt::format("{}.{}.{}#{}", name.task.submission.value, name.task.step,
                     name.task.index, name.run.value);
}

const char* NameOf(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kStale:
      return "stale";
    case OrderResult::kLate:
      return "late";
    case OrderResult::kNoRoom:
      return "no-room";
    case OrderResult::kBadTicket:
      return "bad-ticket";
    case OrderResult::kOtherIncarnation:
      return "other-incarnation";
    case OrderResult::kRefused:
      return "refused";
    case OrderResult::kNotSent:
      return "not-sent";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* NameOf(RunEnd end) {
  switch (end) {
    case RunEnd::kSucceeded:
      return "succeeded";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseLapsed:
      return "lease-lapsed";
    case RunEnd::kGangBroken:
      return "gang-broken";
    case RunEnd::kGangAlone:
      return "gang-alone";
  }
  return "failed";
}

}  // namespace basilspread
