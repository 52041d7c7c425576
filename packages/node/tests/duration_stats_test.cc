#include "duration_stats.h"

#include <catch2/catch.hpp>

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Duration statistics estimate quantiles", "[node][metrics]") {
  DurationStats stats;

  SECTION("they are zero without samples") {
    REQUIRE(stats.Summarize().count == 0);
    REQUIRE(stats.Summarize().p99 == Duration::zero());
  }
  SECTION("they are near the exact quantiles of a uniform distribution") {
    // 7919 and 10,000 are coprime, so every duration from 0 to 9999 us occurs
    // once, in mixed order.
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
