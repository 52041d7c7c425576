#ifndef BASILSPREAD_BENCH_WORKLOAD_H_
#define BASILSPREAD_BENCH_WORKLOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "virtual_cluster.h"

namespace bench {

using test::CallId;
using test::Duration;
using test::TimePoint;

/// One request of an open-loop workload.
struct Arrival {
  /// Since the start of the run.
  Duration at{};
  bool is_long = false;
  Duration work{};
};

/// A stretch of the workload with a constant mean rate.
struct Phase {
  Duration length{};
  double requests_per_second = 0;
};

inline constexpr int kLongShare = 20;
inline constexpr int kLongFactor = 100;

/// Poisson arrivals over the phases; one in 20 is 100 times longer. The work
/// is spread evenly from half to one and a half of the mean.
std::vector<Arrival> MakeArrivals(const std::vector<Phase>& phases,
                                  Duration short_work, std::uint64_t seed);

inline constexpr Duration kShortWork = std::chrono::milliseconds(10);
inline constexpr Duration kShortDeadline = std::chrono::seconds(2);
inline constexpr Duration kLongDeadline = std::chrono::seconds(30);

enum class Policy { kOurs, kBaseline };

std::string NameOf(Policy policy);

/// Five entry processes, ten minions of eight slots, four shards.
struct Setup {
  std::size_t nodes = 5;
  std::size_t minions = 10;
  std::uint32_t slots = 8;
  std::uint32_t shards = 4;
  std::uint64_t seed = 1;
  Policy policy = Policy::kOurs;
};

/// What became of one arrival.
struct Served {
  Arrival arrival;
  bool answered_in_time = false;
  /// From the intended arrival to the answer.
  Duration response{};
};

/// Runs the workload; the request i goes to the entry process `entry(i)`.
std::vector<Served> RunWorkload(
    const Setup& setup, const std::vector<Arrival>& arrivals,
    const std::function<std::size_t(const Arrival&, std::size_t)>& entry,
    const std::function<void(test::VirtualCluster&)>& sample = nullptr);

std::uint32_t TotalSlots(const Setup& setup);

}  // namespace bench

#endif  // BASILSPREAD_BENCH_WORKLOAD_H_
