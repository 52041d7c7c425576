#include "job_client.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <set>

#include "http_call.h"
#include "json.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kStatusOk = 200;
/// From this status on the error is the process's, not the call's, and another
/// process may be tried.
constexpr int kFirstServerError = 500;

Result<Array::Ptr> ReadJobs(const std::string& body) {
  try {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(body).extract<Object::Ptr>();
    const Array::Ptr jobs = root->getArray("jobs");
    if (!jobs.isNull()) {
      return jobs;
    }
  } catch (const Poco::Exception&) {
    // Reported below, like an answer without jobs.
  }
  return Error{ErrorKind::kOwnerUnreachable, "the answer has no list of jobs"};
}

/// Converts an unsuccessful answer to an error; the detail is its body.
Error ReadError(const HttpAnswer& answer) {
  Error error;
  error.kind = answer.status >= kFirstServerError ? ErrorKind::kOwnerUnreachable
                                                  : ErrorKind::kBadRequest;
  error.detail = answer.body;
  return error;
}

Result<Array::Ptr> CallOne(const config::Endpoint& endpoint,
                           const JobCall& call) {
  BOOST_OUTCOME_TRY(answer, Call(endpoint, call.method, "/jobs" + call.target,
                                 call.body, call.timeout));
  if (answer.status != kStatusOk) {
    return ReadError(answer);
  }
  return ReadJobs(answer.body);
}

Error NoAddress() {
  return Error{
      ErrorKind::kBadRequest,
      "addresses for callers are required: --http, or http in [cluster]"};
}

}  // namespace

Result<Array::Ptr> CallJobs(const Arguments& arguments, const JobCall& call) {
  Error last = NoAddress();
  for (const config::Endpoint& endpoint : arguments.addresses.http) {
    Result<Array::Ptr> jobs = CallOne(endpoint, call);
    if (jobs || jobs.error().kind != ErrorKind::kOwnerUnreachable) {
      return jobs;
    }
    last = jobs.error();
  }
  return last;
}

Result<Array::Ptr> CallAllJobs(const Arguments& arguments,
                               const JobCall& call) {
  Error last = NoAddress();
  bool any = false;
  std::set<std::string> seen;
  Array::Ptr all = new Array;
  for (const config::Endpoint& endpoint : arguments.addresses.http) {
    const Result<Array::Ptr> jobs = CallOne(endpoint, call);
    if (!jobs) {
      last = jobs.error();
      continue;
    }
    any = true;
    for (unsigned i = 0; i < jobs.value()->size(); ++i) {
      const Object::Ptr job = jobs.value()->getObject(i);
      if (seen.insert(job->optValue<std::string>("id", "")).second) {
        all->add(job);
      }
    }
  }
  if (!any) {
    return last;
  }
  return all;
}

std::string StateOf(const Array& jobs) {
  return jobs.size() == 0
             ? ""
             : jobs.getObject(0)->optValue<std::string>("state", "");
}

void PrintJobs(const Array& jobs, bool json) {
  if (json) {
    Object root = NewObject();
    root.set("jobs", jobs);
    Print(root);
    return;
  }
  fmt::print("{:<32} {:<10} {:>6} {:>8} {:>10} {:>7}  {}\n", "job", "state",
             "tasks", "running", "succeeded", "failed", "reason");
  for (unsigned i = 0; i < jobs.size(); ++i) {
    const Object::Ptr job = jobs.getObject(i);
    const auto field = [&job](const std::string& name) {
      return job->optValue<std::string>(name, "-");
    };
    fmt::print("{:<32} {:<10} {:>6} {:>8} {:>10} {:>7}  {}\n", field("id"),
               field("state"), field("tasks"), field("running"),
               field("succeeded"), field("failed"), field("reason"));
  }
}

ExitStatus CallAndPrint(const Arguments& arguments, const JobCall& call) {
  const Result<Array::Ptr> jobs = CallJobs(arguments, call);
  if (!jobs) {
    return Fail(jobs.error());
  }
  PrintJobs(*jobs.value(), arguments.json);
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
