#include "basilspread/config/tables.h"

#include <catch2/catch.hpp>

namespace basilspread::config {
namespace {

TEST_CASE("Routes refer to pools by name", "[config][tables]") {
  TablesRecord record;
  record.pool_table = "[pool layout]\ngroup = layout\nshards = 2\n";
  record.route_table =
      "# previews on site\n[route preview]\npool = layout\nclass = urgent\n"
      "deadline = 2s\nidempotent = yes\n";

  SECTION("valid tables are read") {
    const Tables tables = ParseTables(record).value();
    const Route& route = tables.routes.at(RouteName{"preview"});
    REQUIRE(route.service_class == ServiceClass::kUrgent);
    REQUIRE(route.deadline == std::chrono::seconds(2));
    REQUIRE(route.idempotent);
    REQUIRE(tables.pools.at(PoolName{"layout"}).shards == 2);
  }
  SECTION("the routes of a draining pool drain with it") {
    record.pool_table += "draining = yes\n";
    const Tables tables = ParseTables(record).value();
    REQUIRE(tables.pools.at(PoolName{"layout"}).draining);
    REQUIRE(tables.routes.at(RouteName{"preview"}).draining);
  }
  SECTION("quotas of teams are part of the pool table") {
    record.pool_table +=
        "[team plans]\ncpu_millicores = 8000\nmemory_mebibytes = 1024\n"
        "accelerators = 0\n";
    const Tables tables = ParseTables(record).value();
    REQUIRE(tables.quotas.at(TeamName{"plans"}).limit.cpu_millicores == 8000);
  }
  SECTION("all errors are reported at once with their lines") {
    record.route_table =
        "[route preview]\npool = plans\ndeadline = 2\ncolour = red\n"
        "retries = 1\nretries = 2\n";
    const auto parsed = ParseTables(record);
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().detail ==
            "routes.ini:6: [route preview] retries: key is given twice\n"
            "routes.ini:3: [route preview] deadline: \"2\" is not a duration "
            "such as 250ms, 2s, 5m or 1h\n"
            "routes.ini:4: [route preview] colour: unknown key\n"
            "routes.ini:2: [route preview] pool: no pool is named \"plans\"");
  }
}

}  // namespace
}  // namespace basilspread::config
