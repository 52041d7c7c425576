#include "basilspread/core/job.h"

namespace basilspread {

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kWaiting:
      return "waiting";
    case JobState::kStarting:
      return "starting";
    case JobState::kRunning:
      return "running";
    case JobState::kFinished:
      return "finished";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "waiting";
}

}  // namespace basilspread
