#include "basilspread/config/tables.h"

#include <map>
#include <string>
#include <utility>

#include "basilspread/config/reader.h"

namespace basilspread::config {
namespace {

constexpr std::uint32_t kMaxShards = 64;
constexpr std::uint32_t kMaxPercent = 100;

const std::map<std::string, ServiceClass> kClasses = {
    {"urgent", ServiceClass::kUrgent},
    {"short", ServiceClass::kShort},
    {"long", ServiceClass::kLong}};
const std::map<std::string, PoolKind> kPoolKinds = {
    {"minions", PoolKind::kMinions}, {"workers", PoolKind::kWorkers}};
const std::map<std::string, std::string> kChoices = {
    {"least-loaded", "least-loaded"}, {"random", "random"}};

Route ReadRoute(const std::string& name, SectionReader& reader) {
  Route route;
  route.name = RouteName{name};
  reader.Require("pool");
  reader.Read("pool", route.pool.value);
  reader.Read("class", kClasses, route.service_class);
  reader.Read("deadline", route.deadline);
  reader.Read("idempotent", route.idempotent);
  reader.Read("retries", 0, 10, route.retries);
  reader.Read("retry_budget_percent", 0, kMaxPercent,
              route.retry_budget_percent);
  reader.Read("queue_limit", 0, 100000, route.queue_limit);
  reader.Read("team_share_percent", 1, kMaxPercent, route.team_share_percent);
  reader.Read("expected_run_time", route.expected_run_time);
  reader.Read("choice", kChoices, route.choice);
  reader.Finish();
  return route;
}

Pool ReadPool(const std::string& name, SectionReader& reader) {
  Pool pool;
  pool.name = PoolName{name};
  reader.Require("group");
  reader.Read("group", pool.group);
  reader.Read("kind", kPoolKinds, pool.kind);
  reader.Read("shards", 1, kMaxShards, pool.shards);
  reader.Read("short_reserve_percent", 0, kMaxPercent,
              pool.short_reserve_percent);
  reader.Finish();
  return pool;
}

/// "pool layout" gives "layout" for the prefix "pool "; else empty.
std::string NameAfter(const std::string& section, const std::string& prefix) {
  return section.starts_with(prefix) ? section.substr(prefix.size()) : "";
}

void ReadPools(const IniFile& file, Tables& tables, Faults& faults) {
  for (const IniSection& section : file.sections) {
    const std::string name = NameAfter(section.name, "pool ");
    if (name.empty()) {
      faults.Add(section.line, section.name, "", "unknown section");
      continue;
    }
    SectionReader reader(section, faults);
    const Pool pool = ReadPool(name, reader);
    tables.pools.emplace(pool.name, pool);
  }
}

void ReadRoutes(const IniFile& file, Tables& tables, Faults& faults) {
  for (const IniSection& section : file.sections) {
    const std::string name = NameAfter(section.name, "route ");
    if (name.empty()) {
      faults.Add(section.line, section.name, "", "unknown section");
      continue;
    }
    SectionReader reader(section, faults);
    const Route route = ReadRoute(name, reader);
    if (!tables.pools.contains(route.pool)) {
      reader.Fault("pool", "no pool is named \"" + route.pool.value + "\"");
    }
    tables.routes.emplace(route.name, route);
  }
}

}  // namespace

Result<Tables> ParseTables(const TablesRecord& record) {
  Tables tables;
  Faults pool_faults("pools.ini");
  const IniFile pools = ParseIni(record.pool_table, "pools.ini", pool_faults);
  ReadPools(pools, tables, pool_faults);
  Faults route_faults("routes.ini");
  const IniFile routes =
      ParseIni(record.route_table, "routes.ini", route_faults);
  ReadRoutes(routes, tables, route_faults);
  if (pool_faults.empty() && route_faults.empty()) {
    return tables;
  }
  const std::string separator =
      pool_faults.empty() || route_faults.empty() ? "" : "\n";
  return Error{ErrorKind::kInvalidTables,
               pool_faults.Text() + separator + route_faults.Text()};
}

}  // namespace basilspread::config
