#include "basilspread/config/tables.h"

#include <string>

#include "basilspread/config/reader.h"
#include "pools_table.h"
#include "quotas_table.h"
#include "routes_table.h"
#include "section_name.h"

namespace basilspread::config {
namespace {

void ReadPoolTable(const IniFile& file, Tables& tables,
                   Diagnostics& diagnostics) {
  for (const IniSection& section : file.sections) {
    const std::string pool = NameAfterPrefix(section.name, "pool ");
    const std::string team = NameAfterPrefix(section.name, "team ");
    if (pool.empty() && team.empty()) {
      diagnostics.Add(section.line, section.name, "", "unknown section");
      continue;
    }
    CheckName(section, pool.empty() ? team : pool, diagnostics);
    SectionReader reader(section, diagnostics);
    if (!pool.empty()) {
      ReadPool(pool, reader, tables);
    } else {
      ReadQuota(team, reader, tables);
    }
    reader.Finish();
  }
}

}  // namespace

Result<Tables> ParseTableFiles(const TablesRecord& record,
                               const TableFileNames& names) {
  Tables tables;
  Diagnostics pool_diagnostics(names.pools);
  const IniFile pools =
      ParseIni(record.pool_table, names.pools, pool_diagnostics);
  ReadPoolTable(pools, tables, pool_diagnostics);
  Diagnostics route_diagnostics(names.routes);
  const IniFile routes =
      ParseIni(record.route_table, names.routes, route_diagnostics);
  ReadRoutes(routes, tables, route_diagnostics);
  if (pool_diagnostics.empty() && route_diagnostics.empty()) {
    return tables;
  }
  const std::string separator =
      pool_diagnostics.empty() || route_diagnostics.empty() ? "" : "\n";
  return Error{ErrorKind::kInvalidTables,
               pool_diagnostics.Text() + separator + route_diagnostics.Text()};
}

Result<Tables> ParseTables(const TablesRecord& record) {
  return ParseTableFiles(record, TableFileNames{});
}

}  // namespace basilspread::config
