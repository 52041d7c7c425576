// Processor time of the leader's reducer for what comes to it, by the number
// of workers and of steps that wait.

#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "play.h"

namespace basilspread::bench {
namespace {

double Micros(Duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

double Each(Duration time, std::size_t count) {
  return count == 0 ? 0 : Micros(time) / static_cast<double>(count);
}

Duration Sum(const Costs& costs) {
  return costs.calls.time + costs.passes.time + costs.answered_starts.time +
         costs.empty_looks.time + costs.looks_with_ends.time +
         costs.appends.time + costs.messages.time + costs.others.time;
}

void PrintHead() {
  fmt::print(
      "Microseconds. Start: passes over the queue and answers to orders. Look: "
      "one without ends.\nEnd: looks that told ends. With hands, orders and "
      "looks come as messages.\n\n"
      "| Source | Workers | Waiting | Short of | Hands | Submission's call | "
      "Start | Look | End | Append | Message | Others, a submission | All, a "
      "submission | Starts |\n| --- | --- | --- | --- | --- | --- | --- | --- "
      "| --- | --- | --- | --- | --- | --- |\n");
}

void Measure(const std::string& label, const PlaySize& size) {
  const Costs costs = Play(size);
  fmt::print(
      "| {} | {} | {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | "
      "{:.1f} | {:.1f} | {:.0f} | {} |\n",
      label, size.workers, costs.waiting,
      size.shortage == Shortage::kCores ? "cores" : "memory",
      size.relays ? "on" : "off", Each(costs.calls.time, costs.calls.count),
      Each(costs.passes.time + costs.answered_starts.time, costs.starts),
      Each(costs.empty_looks.time, costs.empty_looks.count),
      Each(costs.looks_with_ends.time, costs.ends),
      Each(costs.appends.time, costs.appends.count),
      Each(costs.messages.time, costs.messages.count),
      Each(costs.others.time, costs.submissions),
      Each(Sum(costs), costs.submissions), costs.starts);
  std::fflush(stdout);
}

void MeasureAll(const std::string& label,
                const std::vector<std::size_t>& workers,
                const std::vector<std::size_t>& waiting) {
  for (const bool relays : {false, true}) {
    if (relays && !HasHands()) {
      continue;
    }
    for (const std::size_t count : workers) {
      for (const std::size_t steps : waiting) {
        Measure(label, {count, steps, Shortage::kCores, relays});
        if (steps > 0) {
          Measure(label, {count, steps, Shortage::kMemory, relays});
        }
      }
    }
  }
}

}  // namespace
}  // namespace basilspread::bench

int main(int argc, char** argv) {
  cxxopts::Options options("leader_bench",
                           "Processor time of the leader's reducer");
  options.add_options()("label", "first column of the rows",
                        cxxopts::value<std::string>()->default_value("this"))(
      "workers", "numbers of workers",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "50,100,200,350,700,2900"))(
      "waiting", "numbers of steps that wait",
      cxxopts::value<std::vector<std::size_t>>()->default_value("0,100,1000"))(
      "no-head", "print the rows only");
  const auto given = options.parse(argc, argv);
  if (given.count("no-head") == 0) {
    basilspread::bench::PrintHead();
  }
  basilspread::bench::MeasureAll(
      given["label"].as<std::string>(),
      given["workers"].as<std::vector<std::size_t>>(),
      given["waiting"].as<std::vector<std::size_t>>());
  return 0;
}
