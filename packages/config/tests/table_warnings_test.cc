#include "basilspread/config/table_warnings.h"

#include <catch2/catch.hpp>

#include "basilspread/config/table_diff.h"
#include "basilspread/config/tables.h"

namespace basilspread::config {
namespace {

TablesRecord Record(const std::string& routes, const std::string& pools) {
  TablesRecord record;
  record.route_table = routes;
  record.pool_table = pools;
  return record;
}

Host MakeHost(const std::string& group, const std::string& rack) {
  Host host;
  host.name.value = group + rack;
  host.group = group;
  host.rack = rack;
  host.slots = 8;
  return host;
}

TEST_CASE("Valid tables that are probably unintended cause warnings",
          "[config][tables]") {
  const TablesRecord record = Record(
      "[route plan]\npool = layout\nclass = long\ndeadline = 1s\n"
      "expected_run_time = 1m\nretries = 2\n",
      "[pool layout]\ngroup = layout\nshards = 4\n"
      "short_reserve_percent = 100\n[pool spare]\ngroup = spare\n"
      "[team plans]\ncpu_millicores = 1\nmemory_mebibytes = 1\n"
      "accelerators = 0\n");
  const Tables tables = ParseTables(record).value();

  SECTION("from the tables alone") {
    REQUIRE(FindTableWarnings(tables) ==
            std::vector<std::string>{
                "[route plan] deadline 1s is shorter than the expected run "
                "time 1m",
                "[route plan] retries a request that is not idempotent only "
                "when it surely did not run",
                "[route plan] never runs: the reserve of [pool layout] leaves "
                "no slot for the long class",
                "[pool spare] is not used by any route"});
  }
  SECTION("from the host list") {
    Host leaving = MakeHost("spare", "r1");
    leaving.leaving = true;
    REQUIRE(FindHostWarnings(tables, {MakeHost("layout", "r1"), leaving}) ==
            std::vector<std::string>{
                "[pool layout] has 4 shards for 1 racks: some shards hold no "
                "host",
                "[pool spare] has no live host: the host list has none of "
                "group spare",
                "[team plans] may reserve more than all workers have"});
  }
}

TEST_CASE("Differences are listed by section and key", "[config][tables]") {
  const auto differences = DiffTables(
      Record("[route a]\npool = p\nretries = 1\n[route b]\npool = p\n",
             "[pool p]\ngroup = g\n"),
      Record("# moved\n[route a]\nretries = 2\npool = p\nclass = long\n",
             "[pool p]\ngroup = g\n[pool q]\ngroup = g\n"));
  std::vector<std::string> lines;
  lines.reserve(differences.size());
  for (const TableDifference& difference : differences) {
    lines.push_back(difference.table + "|" + difference.section + "|" +
                    difference.key + "|" + difference.before + "|" +
                    difference.after);
  }
  REQUIRE(lines == std::vector<std::string>{"routes|route a|class||long",
                                            "routes|route a|retries|1|2",
                                            "routes|route b||present|",
                                            "pools|pool q|||added"});
}

}  // namespace
}  // namespace basilspread::config
