// Measures the request path against the baseline policy. Usage:
// request_bench [--seed N] [--csv FILE] [--processes]
#include <fmt/format.h>

#include <cxxopts.hpp>
#include <iostream>

#include "requests/scenarios.h"

namespace {

void Append(bench::Figures& figures, const bench::Figures& more) {
  figures.insert(figures.end(), more.begin(), more.end());
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("request_bench", "Measures the request path.");
  options.add_options()("seed", "Seed of the workloads",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "csv", "File for the figures", cxxopts::value<std::string>())(
      "processes", "Measure real processes too")("help", "Print this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = arguments["seed"].as<std::uint64_t>();
  bench::Figures figures = bench::MeasureHeadOfLineBlocking(seed);
  Append(figures, bench::MeasureBurst(seed));
  Append(figures, bench::MeasureMovingDemand(seed));
  Append(figures, bench::MeasureRefusalCost(seed));
  if (arguments.count("processes") > 0) {
    Append(figures, bench::MeasureEntryOverhead());
  }
  bench::Print(figures);
  if (arguments.count("csv") > 0) {
    bench::WriteCsv(figures, arguments["csv"].as<std::string>());
  }
  return 0;
}
