#include <fmt/format.h>

#include "commands.h"
#include "entry_dump.h"
#include "http_call.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

constexpr Duration kDumpTimeout = std::chrono::seconds(5);

/// Finds the process that the operand names by its address for operators or by
/// its name.
Result<config::Endpoint> FindProcess(const Arguments& arguments) {
  const std::string& wanted = arguments.operands.front();
  Result<config::Endpoint> address = config::ParseEndpoint(wanted);
  if (address) {
    return address;
  }
  BOOST_OUTCOME_TRY(dumps, ReadDumps(arguments));
  for (const EntryDump& dump : dumps) {
    if (dump.Node() == wanted) {
      return dump.admin;
    }
  }
  return Error{ErrorKind::kOwnerUnreachable,
               "no reachable process is named " + wanted};
}

}  // namespace

ExitStatus Dump(const Arguments& arguments) {
  const Result<config::Endpoint> admin = FindProcess(arguments);
  if (!admin) {
    return Fail(admin.error());
  }
  const Result<HttpAnswer> answer =
      Call(admin.value(), "GET", arguments.json ? "/dump.json" : "/dump", "",
           kDumpTimeout);
  if (!answer) {
    return Fail(answer.error());
  }
  fmt::print("{}", answer.value().body);
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
