#include <fmt/format.h>

#include "commands.h"
#include "files.h"
#include "json.h"
#include "report.h"
#include "tables_log.h"

namespace basilspread::ctl {

ExitStatus Diff(const Arguments& arguments) {
  const Result<Draft> draft = ReadDraft(arguments);
  if (!draft) {
    return Fail(draft.error());
  }
  const Result<TablesLog> log = ReadTablesLog(arguments);
  if (!log) {
    return Fail(log.error());
  }
  const auto differences =
      config::DiffTables(log.value().record(), draft.value().record);
  if (arguments.json) {
    Poco::JSON::Object root = NewObject();
    root.set("version", log.value().version().value);
    root.set("differences", ToJson(differences));
    Print(root);
    return ExitStatus::kOk;
  }
  fmt::print("Against version {}: {} differences.\n{}",
             log.value().version().value, differences.size(),
             ToText(differences));
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
