#include <fmt/format.h>

#include "commands.h"
#include "json.h"
#include "report.h"
#include "tables_log.h"

namespace basilspread::ctl {

ExitStatus History(const Arguments& arguments) {
  const Result<TablesLog> log = ReadTablesLog(arguments);
  if (!log) {
    return Fail(log.error());
  }
  if (arguments.json) {
    Poco::JSON::Object root = NewObject();
    Poco::JSON::Array edits;
    for (const TablesDecision& decision : log.value().decisions()) {
      edits.add(ToJson(decision));
    }
    root.set("version", log.value().version().value);
    root.set("edits", edits);
    Print(root);
    return ExitStatus::kOk;
  }
  fmt::print("{:>8}  {:>7}  {:>5}  {:<9}  author\n", "offset", "version",
             "base", "fate");
  for (const TablesDecision& decision : log.value().decisions()) {
    fmt::print("{:>8}  {:>7}  {:>5}  {:<9}  {}\n", decision.offset.value,
               decision.version.value, decision.record.base.value,
               decision.accepted ? "accepted" : "lost", decision.record.author);
  }
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
