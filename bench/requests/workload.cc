#include "requests/workload.h"

#include <random>
#include <utility>

namespace bench {
namespace {

using basilspread::Pool;
using basilspread::PoolName;
using basilspread::Route;
using basilspread::RouteName;
using basilspread::ServiceClass;
using basilspread::Tables;

constexpr std::uint32_t kUnlimited = 100000;
constexpr Duration kSampleInterval = std::chrono::milliseconds(10);
/// Time after the last arrival for what still runs.
constexpr Duration kTail = std::chrono::seconds(45);
constexpr std::size_t kMinionsPerRack = 2;

Tables MakeTables(const Setup& setup) {
  Tables tables;
  Pool pool;
  pool.name = PoolName{"pool"};
  pool.group = "minions";
  pool.shards = setup.shards;
  Route quick;
  quick.name = RouteName{"quick"};
  quick.pool = pool.name;
  quick.deadline = kShortDeadline;
  quick.idempotent = true;
  quick.queue_limit = kUnlimited;
  Route slow = quick;
  slow.name = RouteName{"slow"};
  slow.service_class = ServiceClass::kLong;
  slow.deadline = kLongDeadline;
  if (setup.policy == Policy::kBaseline) {
    pool.short_reserve_percent = 0;
    for (Route* route : {&quick, &slow}) {
      route->choice = "round-robin";
      route->order = "fifo";
      route->admission = "always";
    }
  }
  tables.pools.emplace(pool.name, pool);
  tables.routes.emplace(quick.name, quick);
  tables.routes.emplace(slow.name, slow);
  return tables;
}

}  // namespace

std::string NameOf(Policy policy) {
  return policy == Policy::kOurs ? "ours" : "baseline";
}

std::uint32_t TotalSlots(const Setup& setup) {
  return static_cast<std::uint32_t>(setup.minions) * setup.slots;
}

std::vector<Arrival> MakeArrivals(const std::vector<Phase>& phases,
                                  Duration short_work, std::uint64_t seed) {
  std::mt19937_64 generator(seed);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  std::uniform_int_distribution<int> kind(1, kLongShare);
  std::vector<Arrival> arrivals;
  Duration start{};
  for (const Phase& phase : phases) {
    std::exponential_distribution<double> gap(phase.requests_per_second);
    Duration at = start;
    start += phase.length;
    while (true) {
      at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(generator)));
      if (at >= start) {
        break;
      }
      Arrival arrival;
      arrival.at = at;
      arrival.is_long = kind(generator) == kLongShare;
      const Duration mean = short_work * (arrival.is_long ? kLongFactor : 1);
      arrival.work =
          std::chrono::duration_cast<Duration>(spread(generator) * mean);
      arrivals.push_back(arrival);
    }
  }
  return arrivals;
}

std::vector<Served> RunWorkload(
    const Setup& setup, const std::vector<Arrival>& arrivals,
    const std::function<std::size_t(const Arrival&, std::size_t)>& entry,
    const std::function<void(test::VirtualCluster&)>& sample) {
  test::VirtualCluster cluster(setup.nodes, setup.seed);
  cluster.tables = MakeTables(setup);
  for (std::size_t i = 0; i < setup.minions; ++i) {
    cluster.AddMinion("m" + std::to_string(i), setup.slots,
                      "r" + std::to_string(i / kMinionsPerRack));
  }
  cluster.Start();
  std::vector<Served> served(arrivals.size());
  std::map<CallId, std::size_t> indexes;
  const TimePoint start = cluster.now;
  cluster.on_answer = [&](CallId id, const test::VirtualCall& call) {
    Served& result = served[indexes.at(id)];
    const Duration deadline =
        result.arrival.is_long ? kLongDeadline : kShortDeadline;
    result.response = *call.answered - (start + result.arrival.at);
    result.answered_in_time = call.kind == basilspread::ErrorKind::kNone &&
                              result.response <= deadline;
  };
  TimePoint next_sample = start;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Arrival& arrival = arrivals[i];
    served[i].arrival = arrival;
    while (sample && next_sample < start + arrival.at) {
      cluster.RunFor(next_sample - cluster.now);
      sample(cluster);
      next_sample += kSampleInterval;
    }
    cluster.RunFor(start + arrival.at - cluster.now);
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(arrival.work);
    // The number is that of the call that follows.
    indexes.emplace(CallId{i + 1}, i);
    cluster.Call(entry(arrival, i), arrival.is_long ? "slow" : "quick",
                 std::to_string(micros.count()));
  }
  cluster.RunFor(kTail);
  return served;
}

}  // namespace bench
