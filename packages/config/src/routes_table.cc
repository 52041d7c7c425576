#include "routes_table.h"

#include <map>
#include <string>

#include "basilspread/config/reader.h"
#include "section_name.h"

namespace basilspread::config {
namespace {

constexpr std::uint32_t kMaxPercent = 100;
constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
constexpr Duration kMaxDeadline = std::chrono::hours(24);
constexpr Duration kMinRunTime = std::chrono::microseconds(1);
constexpr std::uint32_t kMaxRetries = 10;
constexpr std::uint32_t kMaxQueueLimit = 100000;

const std::map<std::string, ServiceClass> kClasses = {
    {"urgent", ServiceClass::kUrgent},
    {"short", ServiceClass::kShort},
    {"long", ServiceClass::kLong}};
const std::map<std::string, std::string> kChoices = {
    {"least-loaded", "least-loaded"},
    {"random", "random"},
    {"round-robin", "round-robin"}};
const std::map<std::string, std::string> kOrders = {
    {"shortest-first", "shortest-first"}, {"fifo", "fifo"}};
const std::map<std::string, std::string> kAdmissionRules = {
    {"deadline-aware", "deadline-aware"}, {"always", "always"}};

Route ReadRoute(const std::string& name, SectionReader& reader) {
  Route route;
  route.name = RouteName{name};
  reader.Require("pool");
  reader.Read("pool", route.pool.value);
  reader.Read("class", kClasses, route.service_class);
  reader.Read("deadline", kMinDeadline, kMaxDeadline, route.deadline);
  reader.Read("idempotent", route.idempotent);
  reader.Read("retries", 0, kMaxRetries, route.retries);
  reader.Read("retry_budget_percent", 0, kMaxPercent,
              route.retry_budget_percent);
  reader.Read("queue_limit", 0, kMaxQueueLimit, route.queue_limit);
  reader.Read("team_share_percent", 1, kMaxPercent, route.team_share_percent);
  reader.Read("expected_run_time", kMinRunTime, kMaxDeadline,
              route.expected_run_time);
  reader.Read("choice", kChoices, route.choice);
  reader.Read("order", kOrders, route.order);
  reader.Read("admission", kAdmissionRules, route.admission);
  return route;
}

}  // namespace

void ReadRoutes(const IniFile& file, Tables& tables, Diagnostics& diagnostics) {
  for (const IniSection& section : file.sections) {
    const std::string name = NameAfterPrefix(section.name, "route ");
    if (name.empty()) {
      diagnostics.Add(section.line, section.name, "", "unknown section");
      continue;
    }
    CheckName(section, name, diagnostics);
    SectionReader reader(section, diagnostics);
    Route route = ReadRoute(name, reader);
    reader.Finish();
    const auto pool = tables.pools.find(route.pool);
    if (pool != tables.pools.end()) {
      route.draining = pool->second.draining;
    } else if (!route.pool.value.empty()) {
      reader.AddError("pool", "no pool is named \"" + route.pool.value + "\"");
    }
    tables.routes.emplace(route.name, route);
  }
}

}  // namespace basilspread::config
