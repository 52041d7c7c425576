#include <fmt/format.h>

#include "commands.h"
#include "json.h"
#include "report.h"
#include "tables_log.h"

namespace basilspread::ctl {

ExitStatus Show(const Arguments& arguments) {
  const Result<TablesLog> log = ReadTablesLog(arguments);
  if (!log) {
    return Fail(log.error());
  }
  const TablesRecord& record = log.value().record();
  if (arguments.json) {
    Poco::JSON::Object root = NewObject();
    root.set("version", log.value().version().value);
    root.set("author", record.author);
    root.set("routes", record.route_table);
    root.set("pools", record.pool_table);
    Print(root);
    return ExitStatus::kOk;
  }
  fmt::print("# version {} author {}\n# routes\n{}\n# pools\n{}\n",
             log.value().version().value, record.author, record.route_table,
             record.pool_table);
  return ExitStatus::kOk;
}

}  // namespace basilspread::ctl
