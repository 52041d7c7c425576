#include <fmt/format.h>

#include <memory>
#include <string>

#include "basilspread/clients/host_list_client.h"
#include "basilspread/core/reducer.h"
#include "capacity/measures.h"
#include "capacity/usage.h"
#include "support/cluster.h"
#include "support/http.h"
#include "virtual_cluster.h"

namespace capacity {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

std::string HostListJson(int hosts) {
  std::string json = R"({"hosts":[)";
  for (int i = 0; i < hosts; ++i) {
    json += fmt::format(
        R"({}{{"name":"worker-{}","address":"127.0.0.1:{}","group":"other",)"
        R"("zone":"zone-{}","rack":"rack-{}","leaving":false,)"
        R"("cpu_millicores":64000,"memory_mebibytes":262144,)"
        R"("accelerators":0,"slots":8,"connections":64}})",
        i == 0 ? "" : ",", i, 10000 + i, i % 20, i / 8);
  }
  return json + "]}";
}

struct ListCost {
  double bytes = 0;
  double read_microseconds = 0;
  double reduce_microseconds = 0;
  double state_bytes = 0;
  double unchanged_microseconds = 0;
};

ListCost Measure(const test::Cluster& cluster, int hosts) {
  constexpr int kRepeats = 5;
  ListCost cost;
  const std::string json = HostListJson(hosts);
  cost.bytes = static_cast<double>(json.size());
  test::Call(cluster.hosts_port, "PUT", "/hosts", json);
  auto state = std::make_unique<State>(Settings{}, DefaultHooks());
  const TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < kRepeats; ++i) {
    // A client that has read nothing reads the whole list.
    clients::HostListClient client("127.0.0.1", cluster.hosts_port,
                                   std::chrono::seconds(5));
    auto start = CpuTime();
    HostsListed listed = client.List();
    cost.read_microseconds += Microseconds(CpuTime() - start) / kRepeats;
    start = CpuTime();
    client.List();
    cost.unchanged_microseconds += Microseconds(CpuTime() - start) / kRepeats;
    const double before = HeapBytes();
    const Event event{now, std::move(listed)};
    start = CpuTime();
    Reduce(*state, event);
    cost.reduce_microseconds += Microseconds(CpuTime() - start) / kRepeats;
    if (i == 0) {
      cost.state_bytes = HeapBytes() - before;
    }
  }
  return cost;
}

}  // namespace

Slopes MeasureHostList() {
  const test::Cluster cluster;
  std::vector<Sample> bytes;
  std::vector<Sample> read;
  std::vector<Sample> unchanged;
  std::vector<Sample> reduce;
  std::vector<Sample> state;
  for (const int hosts : {100, 1000, 2900}) {
    const ListCost cost = Measure(cluster, hosts);
    const auto size = static_cast<double>(hosts);
    bytes.push_back({size, cost.bytes});
    read.push_back({size, cost.read_microseconds});
    unchanged.push_back({size, cost.unchanged_microseconds});
    reduce.push_back({size, cost.reduce_microseconds});
    state.push_back({size, cost.state_bytes});
  }
  return {FitLine("host list, B", "hosts", bytes),
          FitLine("CPU to read a changed list, us", "hosts", read),
          FitLine("CPU to read an unchanged list, us", "hosts", unchanged),
          FitLine("CPU to reduce a changed list, us", "hosts", reduce),
          FitLine("state for the list, B", "hosts", state)};
}

}  // namespace capacity
