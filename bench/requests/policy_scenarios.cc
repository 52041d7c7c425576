#include <algorithm>
#include <functional>

#include "requests/scenarios.h"
#include "requests/workload.h"

namespace bench {
namespace {

using std::chrono::seconds;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

using Filter = std::function<bool(const Served&)>;

std::vector<double> Responses(const std::vector<Served>& served,
                              const Filter& filter) {
  std::vector<double> responses;
  for (const Served& entry : served) {
    if (filter(entry)) {
      responses.push_back(Milliseconds(entry.response));
    }
  }
  return responses;
}

double ShareInTime(const std::vector<Served>& served, const Filter& filter) {
  double count = 0;
  double in_time = 0;
  for (const Served& entry : served) {
    if (filter(entry)) {
      count += 1;
      in_time += entry.answered_in_time ? 1 : 0;
    }
  }
  return count == 0 ? 0 : in_time / count;
}

bool IsShort(const Served& entry) { return !entry.arrival.is_long; }
bool IsLong(const Served& entry) { return entry.arrival.is_long; }

std::size_t InTurn(const Arrival& /*arrival*/, std::size_t index) {
  return index % Setup{}.nodes;
}

/// Mean requests a second that use this share of the slots.
double RateFor(const Setup& setup, Duration short_work, double utilization) {
  const double mean_work =
      Seconds(short_work) * (kLongShare - 1 + kLongFactor) / kLongShare;
  return utilization * TotalSlots(setup) / mean_work;
}

/// The time within [from, to) in which the request ran.
Duration RunWithin(const Served& entry, Duration from, Duration to) {
  const Duration end = entry.arrival.at + entry.response;
  const Duration start = end - entry.arrival.work;
  return std::max(Duration::zero(), std::min(end, to) - std::max(start, from));
}

void AddHeadOfLine(Figures& figures, const Setup& setup,
                   const std::vector<Arrival>& arrivals) {
  std::vector<Arrival> without_long;
  std::copy_if(arrivals.begin(), arrivals.end(),
               std::back_inserter(without_long),
               [](const Arrival& arrival) { return !arrival.is_long; });
  const auto mixed = RunWorkload(setup, arrivals, InTurn);
  const auto alone = RunWorkload(setup, without_long, InTurn);
  const double with_p99 = Percentile(Responses(mixed, IsShort), 0.99);
  const double alone_p99 = Percentile(Responses(alone, IsShort), 0.99);
  const std::string policy = NameOf(setup.policy);
  const auto add = [&](const std::string& name, double value,
                       const std::string& unit) {
    figures.push_back({"head-of-line", policy, name, value, unit});
  };
  add("short p50 with long", Percentile(Responses(mixed, IsShort), 0.5), "ms");
  add("short p99 with long", with_p99, "ms");
  add("short p99 without long", alone_p99, "ms");
  add("ratio of the p99s", with_p99 / alone_p99, "");
  add("short in time", 100 * ShareInTime(mixed, IsShort), "%");
  add("long finished", 100 * ShareInTime(mixed, IsLong), "%");
  add("long p99", Percentile(Responses(mixed, IsLong), 0.99), "ms");
}

void AddBurst(Figures& figures, const std::string& scenario, const Setup& setup,
              const std::vector<Arrival>& arrivals, Duration start,
              Duration end) {
  const auto served = RunWorkload(setup, arrivals, InTurn);
  Duration useful{};
  for (const Served& entry : served) {
    if (entry.answered_in_time) {
      useful += RunWithin(entry, start, end);
    }
  }
  const auto in_burst = [=](const Served& entry) {
    return IsShort(entry) && entry.arrival.at >= start &&
           entry.arrival.at < end;
  };
  const auto before = [=](const Served& entry) {
    return IsShort(entry) && entry.arrival.at < start;
  };
  const auto after = [=](const Served& entry) {
    return IsShort(entry) && entry.arrival.at >= end + seconds(2);
  };
  const std::string policy = NameOf(setup.policy);
  const auto add = [&](const std::string& name, double value,
                       const std::string& unit) {
    figures.push_back({scenario, policy, name, value, unit});
  };
  const double capacity = TotalSlots(setup) * Seconds(end - start);
  add("useful work during the burst", 100 * Seconds(useful) / capacity,
      "% of capacity");
  add("short in time during the burst", 100 * ShareInTime(served, in_burst),
      "%");
  add("short p99 during the burst",
      Percentile(Responses(served, in_burst), 0.99), "ms");
  add("short p99 before", Percentile(Responses(served, before), 0.99), "ms");
  add("short p99 from 2 s after", Percentile(Responses(served, after), 0.99),
      "ms");
  add("long in time over the run", 100 * ShareInTime(served, IsLong), "%");
}

}  // namespace

Figures MeasureHeadOfLineBlocking(std::uint64_t seed) {
  Figures figures;
  for (const Policy policy : {Policy::kBaseline, Policy::kOurs}) {
    Setup setup;
    setup.seed = seed;
    setup.policy = policy;
    const auto arrivals = MakeArrivals(
        {{seconds(60), RateFor(setup, kShortWork, 0.9)}}, kShortWork, seed);
    AddHeadOfLine(figures, setup, arrivals);
  }
  return figures;
}

Figures MeasureBurst(std::uint64_t seed) {
  Figures figures;
  // A slot is idle for a round trip between two requests, so that what the
  // pool can do depends on the length of the work.
  for (const int work : {10, 50}) {
    const Duration short_work = std::chrono::milliseconds(work);
    for (const Policy policy : {Policy::kBaseline, Policy::kOurs}) {
      Setup setup;
      setup.seed = seed;
      setup.policy = policy;
      const double mean = RateFor(setup, short_work, 0.5);
      const auto arrivals = MakeArrivals(
          {{seconds(10), mean}, {seconds(5), 10 * mean}, {seconds(10), mean}},
          short_work, seed);
      AddBurst(figures, "burst " + std::to_string(work) + "ms", setup, arrivals,
               seconds(10), seconds(15));
    }
  }
  return figures;
}

}  // namespace bench
