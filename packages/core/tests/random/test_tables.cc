#include "random/test_tables.h"

#include <fmt/format.h>

namespace random_test {

using basilspread::Host;
using basilspread::HostName;
using basilspread::Pool;
using basilspread::PoolKind;
using basilspread::PoolName;
using basilspread::Route;
using basilspread::RouteName;
using basilspread::ServiceClass;
using basilspread::Tables;
using basilspread::TablesRecord;
using basilspread::TablesVersion;

namespace {

constexpr int kMinions = 6;
constexpr int kMinionsPerRack = 2;
constexpr int kWorkers = 4;
constexpr int kWorkersPerRack = 2;

void AddPool(Tables& tables, const char* name, PoolKind kind,
             const char* group) {
  Pool pool;
  pool.name = PoolName{name};
  pool.kind = kind;
  pool.group = group;
  pool.shards = 2;
  tables.pools.emplace(pool.name, pool);
}

Tables MakeTables() {
  Tables tables;
  AddPool(tables, "layout", PoolKind::kMinions, "minions");
  AddPool(tables, "batch", PoolKind::kWorkers, "workers");
  for (const RouteLoad& use : kRouteLoads) {
    Route route;
    route.name = RouteName{use.route};
    route.pool = PoolName{"layout"};
    route.deadline = std::chrono::seconds(5);
    route.idempotent = use.idempotent;
    route.retries = 1;
    route.expected_run_time = use.work;
    tables.routes.emplace(route.name, route);
  }
  tables.routes.at(RouteName{"plan"}).service_class = ServiceClass::kLong;
  Route job;
  job.name = RouteName{kJobRoute};
  job.pool = PoolName{"batch"};
  job.service_class = ServiceClass::kLong;
  tables.routes.emplace(job.name, job);
  return tables;
}

}  // namespace

TablesRecord MakeEdit(TablesVersion base, const std::string& author) {
  TablesRecord record;
  record.base = base;
  record.author = author;
  record.route_table = fmt::format("{} on {}", author, base.value);
  return record;
}

basilspread::Hooks MakeHooks() {
  basilspread::Hooks hooks = basilspread::DefaultHooks();
  hooks.parse_tables = [](const TablesRecord& /*record*/) {
    return basilspread::Result<Tables>(MakeTables());
  };
  return hooks;
}

std::vector<Host> MakeHosts() {
  std::vector<Host> hosts;
  for (int i = 0; i < kMinions; ++i) {
    Host host;
    host.name = HostName{fmt::format("minion-{}", i)};
    host.address = host.name.value;
    host.group = "minions";
    host.rack = fmt::format("rack-{}", i / kMinionsPerRack);
    host.slots = 2;
    host.connections = 8;
    hosts.push_back(host);
  }
  for (int i = 0; i < kWorkers; ++i) {
    Host host;
    host.name = HostName{fmt::format("worker-{}", i)};
    host.address = host.name.value;
    host.group = "workers";
    host.rack = fmt::format("rack-{}", i / kWorkersPerRack);
    host.capacity.cpu_millicores = 4000;
    host.capacity.memory_mebibytes = 4096;
    host.capacity.accelerators = 1;
    hosts.push_back(host);
  }
  return hosts;
}

}  // namespace random_test
