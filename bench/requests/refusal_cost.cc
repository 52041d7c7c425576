#include <ctime>

#include "requests/scenarios.h"
#include "virtual_cluster.h"

namespace bench {
namespace {

constexpr int kCalls = 20000;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Microseconds of processor time for one call of the route.
double CostOf(test::VirtualCluster& cluster, const char* route,
              const char* work, test::Duration gap) {
  const double start = ProcessorSeconds();
  for (int i = 0; i < kCalls; ++i) {
    cluster.Call(0, route, work);
    cluster.RunFor(gap);
  }
  return (ProcessorSeconds() - start) / kCalls * 1e6;
}

void AddMinions(test::VirtualCluster& cluster) {
  for (int i = 0; i < 50; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 8, "r1");
  }
}

}  // namespace

Figures MeasureRefusalCost(std::uint64_t seed) {
  using std::chrono::microseconds;
  test::VirtualCluster serving(1, seed);
  AddMinions(serving);
  serving.Start();
  const double served = CostOf(serving, "quick", "100", microseconds(500));

  test::VirtualCluster full(1, seed);
  auto& route = full.tables.routes.at(basilspread::RouteName{"slow"});
  route.queue_limit = 1000;
  AddMinions(full);
  full.Start();
  for (int i = 0; i < 2000; ++i) {
    full.Call(0, "slow", "25000000");
  }
  const double refused = CostOf(full, "slow", "25000000", microseconds(0));
  return {{"refusal-cost", "ours", "served request", served, "us"},
          {"refusal-cost", "ours", "refused request", refused, "us"},
          {"refusal-cost", "ours", "refused to served",
           served == 0 ? 0 : 100 * refused / served, "%"}};
}

}  // namespace bench
