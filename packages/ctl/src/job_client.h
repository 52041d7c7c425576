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
  /// Below "/jobs".
  std::string target;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
};

/// The jobs that an entry process answers with. Asks one process after another
/// until one answers for the cluster; every job call may be repeated.
/// Errors: kBadRequest without an address, kOwnerUnreachable, and what the
/// process answers.
Result<Poco::JSON::Array::Ptr> CallJobs(const Arguments& arguments,
                                        const JobCall& call);

/// The same of every process that answers, each job once.
Result<Poco::JSON::Array::Ptr> CallAllJobs(const Arguments& arguments,
                                           const JobCall& call);

/// The "state" of the first job.
std::string StateOf(const Poco::JSON::Array& jobs);

/// Writes jobs for people or for scripts.
void PrintJobs(const Poco::JSON::Array& jobs, bool json);

/// Calls and prints: the whole of a command that only asks.
ExitStatus CallAndPrint(const Arguments& arguments, const JobCall& call);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_JOB_CLIENT_H_
