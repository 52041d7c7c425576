#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <random>
#include <sstream>

#include "commands.h"
#include "files.h"
#include "job_client.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

/// Adds a random id, if there is none, and the team of the command line to the
/// text of a job. The id makes the call idempotent, so that it can be repeated
/// at another process.
Result<std::string> AddIdAndTeam(const std::string& text,
                                 const Arguments& arguments) {
  try {
    Poco::JSON::Parser parser;
    auto job = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    if (!job->has("id")) {
      std::random_device device;
      job->set("id", fmt::format("job-{:08x}{:08x}", device(), device()));
    }
    if (!arguments.team.empty()) {
      job->set("team", arguments.team);
    }
    std::ostringstream out;
    job->stringify(out);
    return out.str();
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kBadRequest,
                 "the job is not a JSON object: " + exception.displayText()};
  }
}

}  // namespace

ExitStatus Submit(const Arguments& arguments) {
  const Result<std::string> text = ReadTextFile(arguments.operands.front());
  if (!text) {
    return Fail(text.error());
  }
  const Result<std::string> job = AddIdAndTeam(text.value(), arguments);
  if (!job) {
    return Fail(job.error());
  }
  JobCall call;
  call.method = "POST";
  call.body = job.value();
  return CallAndPrint(arguments, call);
}

}  // namespace basilspread::ctl
