#include "internal/report_tables.h"

#include <fmt/format.h>

#include <string>

namespace basilspread::internal::report {
namespace {

std::string InMilliseconds(Duration duration) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return fmt::format("{}ms", millis.count());
}

std::string NameOf(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kUrgent:
      return "urgent";
    case ServiceClass::kShort:
      return "short";
    case ServiceClass::kLong:
      return "long";
  }
  return "";
}

std::string YesOrNo(bool flag) { return flag ? "yes" : "no"; }

}  // namespace

ReportSection DescribeRoutes(const Context& context) {
  ReportSection section{"routes", {}};
  for (const auto& [name, route] : context.state.configuration.tables.routes) {
    section.rows.push_back(
        {{"route", name.value},
         {"pool", route.pool.value},
         {"class", NameOf(route.service_class)},
         {"deadline", InMilliseconds(route.deadline)},
         {"idempotent", YesOrNo(route.idempotent)},
         {"queue_limit", fmt::format("{}", route.queue_limit)},
         {"draining", YesOrNo(route.draining)}});
  }
  return section;
}

ReportSection DescribePools(const Context& context) {
  ReportSection section{"pools", {}};
  for (const auto& [name, pool] : context.state.configuration.tables.pools) {
    const bool has_minions = pool.kind == PoolKind::kMinions;
    section.rows.push_back(
        {{"pool", name.value},
         {"kind", has_minions ? "minions" : "workers"},
         {"group", pool.group},
         {"shards", fmt::format("{}", pool.shards)},
         {"reserve_percent", fmt::format("{}", pool.short_reserve_percent)},
         {"draining", YesOrNo(pool.draining)}});
  }
  return section;
}

ReportSection DescribeQuotas(const Context& context) {
  ReportSection section{"quotas", {}};
  for (const auto& [team, quota] : context.state.configuration.tables.quotas) {
    section.rows.push_back(
        {{"team", team.value},
         {"cpu_millicores", fmt::format("{}", quota.limit.cpu_millicores)},
         {"memory_mebibytes", fmt::format("{}", quota.limit.memory_mebibytes)},
         {"accelerators", fmt::format("{}", quota.limit.accelerators)}});
  }
  return section;
}

}  // namespace basilspread::internal::report
