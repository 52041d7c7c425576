#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <string>

#include "capacity/measures.h"
#include "support/cluster.h"
#include "support/http.h"

namespace capacity {
namespace {

constexpr auto kSettle = std::chrono::seconds(3);
constexpr auto kRun = std::chrono::seconds(8);
constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 12\n";
constexpr const char* kRoutes = "[route preview]\npool = layout\n";

void PublishHosts(const test::Cluster& cluster, int hosts) {
  std::string json = R"({"hosts":[)";
  for (int i = 0; i < hosts; ++i) {
    json += fmt::format(
        R"({}{{"name":"minion-{}","address":"127.0.0.1:9","group":"minions",)"
        R"("zone":"zone-{}","rack":"rack-{}","slots":8,"connections":64}})",
        i == 0 ? "" : ",", i, i % 20, i / 8);
  }
  test::Call(cluster.hosts_port, "PUT", "/hosts", json + "]}");
}

struct Usage {
  double resident_kibibytes = 0;
  double cpu_seconds = 0;
};

Usage ReadUsage(const test::EntryProcess& entry) {
  const test::Response dump = test::Call(entry.admin, "GET", "/dump.json");
  Poco::JSON::Parser parser;
  const auto root = parser.parse(dump.body).extract<Poco::JSON::Object::Ptr>();
  const auto row = root->getArray("usage")->getObject(0);
  return {row->getValue<double>("resident_kib"),
          row->getValue<double>("cpu_seconds")};
}

}  // namespace

Slopes MeasureIdleProcesses() {
  std::vector<Sample> memory;
  std::vector<Sample> cpu;
  const auto never = [] { return false; };
  for (const int hosts : {100, 1000, 2900}) {
    test::Cluster cluster;
    PublishHosts(cluster, hosts);
    cluster.AddEntries(3);
    for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
      cluster.StartEntry(i);
    }
    cluster.PublishTables(kRoutes, kPools, 0);
    test::Eventually([&cluster] { return cluster.AllServe(1); });
    test::Eventually(never, kSettle);
    const Usage before = ReadUsage(cluster.entries[0]);
    test::Eventually(never, kRun);
    const Usage after = ReadUsage(cluster.entries[0]);
    const auto size = static_cast<double>(hosts);
    const double seconds = std::chrono::duration<double>(kRun).count();
    memory.push_back({size, after.resident_kibibytes});
    cpu.push_back(
        {size, 100 * (after.cpu_seconds - before.cpu_seconds) / seconds});
  }
  return {FitLine("resident memory, idle, KiB", "hosts", memory),
          FitLine("CPU, idle, % of a core", "hosts", cpu)};
}

}  // namespace capacity
