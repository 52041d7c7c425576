#include "duration_stats.h"

#include <catch2/catch.hpp>

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Duration statistics estimate quantiles", "[node][metrics]") {
  DurationStats stats;

  SECTION("of nothing they are zero") {
    REQUIRE(stats.Summarize().count == 0);
    REQUIRE(stats.Summarize().p99 == Duration::zero());
  }
  SECTION("of a uniform spread they lie near the exact ones") {
    // 7919 is prime to 10,000: every length comes once, in mixed order.
    for (int i = 0; i < 10000; ++i) {
      stats.Add(std::chrono::microseconds((i * 7919) % 10000));
    }
    const DurationSummary summary = stats.Summarize();
    REQUIRE(summary.count == 10000);
    REQUIRE(summary.p50 > milliseconds(4));
    REQUIRE(summary.p50 < milliseconds(6));
    REQUIRE(summary.p99 > milliseconds(9));
    REQUIRE(summary.max == std::chrono::microseconds(9999));
  }
}

}  // namespace
}  // namespace basilspread::node
