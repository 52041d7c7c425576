#include <fmt/format.h>

#include "commands.h"
#include "draft_check.h"
#include "json.h"
#include "report.h"

namespace basilspread::ctl {

ExitStatus Check(const Arguments& arguments) {
  Result<Draft> draft = ReadDraft(arguments);
  if (!draft) {
    return Fail(draft.error());
  }
  const std::vector<std::string> warnings =
      FindWarnings(draft.value(), arguments);
  if (arguments.addresses.log) {
    Result<TablesLog> log = ReadTablesLog(arguments);
    if (!log) {
      return Fail(log.error());
    }
    Result<void> follows = CheckAgainstAccepted(draft.value(), log.value());
    if (!follows) {
      return Fail(follows.error());
    }
  }
  if (arguments.json) {
    Poco::JSON::Object root = NewObject();
    Poco::JSON::Array list;
    for (const std::string& warning : warnings) {
      list.add(warning);
    }
    root.set("valid", true);
    root.set("warnings", list);
    Print(root);
    return ExitStatus::kOk;
  }
  for (const std::string& warning : warnings) {
    Warn(warning);
  }
  fmt::print("The tables are valid. routes={} pools={} teams={} warnings={}\n",
             draft.value().tables.routes.size(),
             draft.value().tables.pools.size(),
             draft.value().tables.quotas.size(), warnings.size());
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
