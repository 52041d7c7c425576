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
    const std::string pool = NameAfter(section.name, "pool ");
    const std::string team = NameAfter(section.name, "team ");
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
  Diagnostics pool_faults(names.pools);
  const IniFile pools = ParseIni(record.pool_table, names.pools, pool_faults);
  ReadPoolTable(pools, tables, pool_faults);
  Diagnostics route_faults(names.routes);
  const IniFile routes =
      ParseIni(record.route_table, names.routes, route_faults);
  ReadRoutes(routes, tables, route_faults);
  if (pool_faults.empty() && route_faults.empty()) {
    return tables;
  }
  const std::string separator =
      pool_faults.empty() || route_faults.empty() ? "" : "\n";
  return Error{ErrorKind::kInvalidTables,
               pool_faults.Text() + separator + route_faults.Text()};
}

Result<Tables> ParseTables(const TablesRecord& record) {
  return ParseTableFiles(record, TableFileNames{});
}

}  // namespace basilspread::config
