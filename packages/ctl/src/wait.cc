#include <algorithm>

#include "await.h"
#include "basilspread/config/reader.h"
#include "commands.h"
#include "job_client.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

/// Longest wait of one call, so that a lost process is noticed.
constexpr Duration kMaxCallTime = std::chrono::seconds(10);
constexpr Duration kAnswerMargin = std::chrono::seconds(3);

bool HasEnded(const std::string& state) {
  return state == "finished" || state == "failed" || state == "cancelled";
}

JobCall MakeCall(const Arguments& arguments, TimePoint end) {
  const Duration left = std::max<Duration>(
      end - std::chrono::steady_clock::now(), std::chrono::milliseconds(1));
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::min(left, kMaxCallTime));
  JobCall call;
  call.method = "GET";
  call.target = "/" + arguments.operands.front() +
                "/wait?timeout=" + config::FormatDuration(wait);
  call.timeout = wait + kAnswerMargin;
  return call;
}

}  // namespace

ExitStatus Wait(const Arguments& arguments) {
  const TimePoint end = std::chrono::steady_clock::now() + arguments.timeout;
  Result<Poco::JSON::Array::Ptr> jobs = Poco::JSON::Array::Ptr();
  Await(arguments.timeout, [&arguments, &jobs, end] {
    jobs = CallJobs(arguments, MakeCall(arguments, end));
    return !jobs || HasEnded(StateOf(*jobs.value()));
  });
  if (!jobs) {
    return Fail(jobs.error());
  }
  PrintJobs(*jobs.value(), arguments.json);
  const std::string state = StateOf(*jobs.value());
  if (!HasEnded(state)) {
    return ExitStatus::kTimeout;
  }
  return state == "finished" ? ExitStatus::kOk : ExitStatus::kFailure;
}

}  // namespace basilspread::ctl
