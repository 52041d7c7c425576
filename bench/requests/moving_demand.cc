#include "requests/credit_model.h"
#include "requests/scenarios.h"
#include "requests/workload.h"

namespace bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// All demand comes in at one entry process, another one every second.
std::size_t HotEntry(const Arrival& arrival) {
  const auto second = std::chrono::duration_cast<seconds>(arrival.at).count();
  return static_cast<std::size_t>(second) % Setup{}.nodes;
}

/// Short requests only, so that nothing but the sharing of slots differs.
std::vector<Arrival> ShortArrivals(const Setup& setup, std::uint64_t seed) {
  const double utilization = 0.8;
  const double rate = utilization * TotalSlots(setup) /
                      std::chrono::duration<double>(kShortWork).count();
  std::vector<Arrival> arrivals =
      MakeArrivals({{seconds(10), rate}}, kShortWork, seed);
  std::erase_if(arrivals,
                [](const Arrival& arrival) { return arrival.is_long; });
  return arrivals;
}

/// Idle slots while something waits anywhere, seen at fixed intervals.
struct IdleSampler {
  double idle = 0;
  double samples = 0;

  void Sample(test::VirtualCluster& cluster, const Setup& setup) {
    std::uint32_t queued = 0;
    for (std::size_t node = 0; node < setup.nodes; ++node) {
      for (const auto& [id, shard] : cluster.StateOf(node).requests.shards) {
        queued += QueuedRequests(shard);
      }
    }
    if (queued == 0) {
      return;
    }
    std::uint32_t running = 0;
    for (const auto& [name, minion] : cluster.minions) {
      running += minion.running;
    }
    this->idle += 1 - static_cast<double>(running) / TotalSlots(setup);
    this->samples += 1;
  }
};

SharingResult RunForwarding(const Setup& setup,
                            const std::vector<Arrival>& arrivals) {
  IdleSampler sampler;
  const auto served = RunWorkload(
      setup, arrivals,
      [](const Arrival& arrival, std::size_t) { return HotEntry(arrival); },
      [&](test::VirtualCluster& cluster) { sampler.Sample(cluster, setup); });
  SharingResult result;
  result.idle_while_waiting =
      sampler.samples == 0 ? 0 : sampler.idle / sampler.samples;
  for (const Served& entry : served) {
    result.response_milliseconds.push_back(
        std::chrono::duration<double, std::milli>(entry.response).count());
  }
  return result;
}

void Add(Figures& figures, const std::string& policy,
         const SharingResult& result) {
  figures.push_back({"moving-demand", policy, "idle slots while requests wait",
                     100 * result.idle_while_waiting, "% of slots"});
  figures.push_back({"moving-demand", policy, "p50",
                     Percentile(result.response_milliseconds, 0.5), "ms"});
  figures.push_back({"moving-demand", policy, "p99",
                     Percentile(result.response_milliseconds, 0.99), "ms"});
}

}  // namespace

Figures MeasureMovingDemand(std::uint64_t seed) {
  Setup setup;
  setup.seed = seed;
  const std::vector<Arrival> arrivals = ShortArrivals(setup, seed);
  Figures figures;
  for (const Duration renewal :
       {Duration(milliseconds(100)), Duration(milliseconds(250)),
        Duration(milliseconds(1000))}) {
    const auto count =
        std::chrono::duration_cast<milliseconds>(renewal).count();
    Add(figures, "credits " + std::to_string(count) + "ms",
        RunCreditModel(setup.nodes, TotalSlots(setup), renewal, arrivals,
                       HotEntry));
  }
  Add(figures, "forward to owner", RunForwarding(setup, arrivals));
  return figures;
}

}  // namespace bench
