#include "commands.h"
#include "job_client.h"
#include "report.h"

namespace basilspread::ctl {

ExitStatus Jobs(const Arguments& arguments) {
  JobCall call;
  call.method = "GET";
  const auto jobs = CallAllJobs(arguments, call);
  if (!jobs) {
    return Fail(jobs.error());
  }
  PrintJobs(*jobs.value(), arguments.json);
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
