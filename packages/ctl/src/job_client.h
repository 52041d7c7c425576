#ifndef BASILSPREAD_CTL_SRC_JOB_CLIENT_H_
#define BASILSPREAD_CTL_SRC_JOB_CLIENT_H_

#include <Poco/JSON/Array.h>

#include <string>

#include "arguments.h"
#include "basilspread/core/result.h"
#include "exit_status.h"

namespace basilspread::ctl {

struct JobCall {
  std::string method;
  /// Path and query after "/jobs".
  std::string target;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
};

/// Makes a call about jobs and returns the jobs of the answer. Tries the entry
/// processes in order until one answers without a server error; job calls are
/// idempotent.
/// Errors: kBadRequest without an address or for a rejected call,
/// kOwnerUnreachable when no process can serve it.
Result<Poco::JSON::Array::Ptr> CallJobs(const Arguments& arguments,
                                        const JobCall& call);

/// Makes the call to all processes and returns the jobs of all answers, each
/// job once. Errors: as CallJobs, when no process answers.
Result<Poco::JSON::Array::Ptr> CallAllJobs(const Arguments& arguments,
                                           const JobCall& call);

/// Returns the "state" of the first job; empty without a job.
std::string StateOf(const Poco::JSON::Array& jobs);

/// Prints jobs as a table or as JSON.
void PrintJobs(const Poco::JSON::Array& jobs, bool json);

/// Runs a command that only makes a call and prints the jobs of the answer.
ExitStatus CallAndPrint(const Arguments& arguments, const JobCall& call);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_JOB_CLIENT_H_
