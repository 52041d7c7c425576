#include <string>

#include "capacity/measures.h"
#include "capacity/usage.h"
#include "virtual_cluster.h"

namespace capacity {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kRequests = 20000;

/// Processor time for one request from arrival to answer, fakes included.
double RequestMicroseconds(int minions) {
  test::VirtualCluster cluster(1, 1);
  for (int i = 0; i < minions; ++i) {
    cluster.AddMinion("minion-" + std::to_string(i), 8,
                      "rack-" + std::to_string(i / 8));
  }
  cluster.Start();
  const auto start = CpuTime();
  for (int i = 0; i < kRequests; ++i) {
    cluster.Call(0, "quick", "1000");
    cluster.RunFor(500us);
  }
  return Microseconds(CpuTime() - start) / kRequests;
}

}  // namespace

Slopes MeasureRequests() {
  std::vector<Sample> cpu;
  for (const int minions : {8, 24, 64}) {
    cpu.push_back({static_cast<double>(minions), RequestMicroseconds(minions)});
  }
  return {FitLine("control CPU of a request, us", "minions a shard", cpu)};
}

}  // namespace capacity
