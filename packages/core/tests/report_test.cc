#include <algorithm>
#include <catch2/catch.hpp>

#include "basilspread/core/reducer.h"
#include "virtual_cluster.h"

namespace test {
namespace {

using basilspread::AnswerDump;
using basilspread::DumpRequested;
using basilspread::ReportRow;
using basilspread::ReportSection;

TEST_CASE("The state dump shows the queued requests of each class",
          "[core][report]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 1, "r1");
  cluster.tables.pools.begin()->second.short_reserve_percent = 0;
  cluster.Start();
  cluster.Call(0, "slow", "5000000");
  cluster.Call(0, "slow", "5000000");
  cluster.RunFor(50ms);
  std::optional<AnswerDump> dump;
  cluster.on_effect = [&dump](std::size_t, const basilspread::Effect& effect) {
    if (const auto* answer = std::get_if<AnswerDump>(&effect)) {
      dump = *answer;
    }
  };
  cluster.Post(0, DumpRequested{CallId{1}});
  REQUIRE(dump);
  const auto queues = std::find_if(
      dump->report.begin(), dump->report.end(),
      [](const ReportSection& section) { return section.title == "queues"; });
  REQUIRE(queues != dump->report.end());
  const ReportRow waiting_long = {
      {"shard", "pool#0"}, {"class", "long"}, {"waiting", "1"}};
  REQUIRE(std::count(queues->rows.begin(), queues->rows.end(), waiting_long) ==
          1);
}

}  // namespace
}  // namespace test
