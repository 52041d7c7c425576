#include "basilspread/core/submission.h"

#include <fmt/format.h>

#include "basilspread/core/fleet_call.h"

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
