#include <catch2/catch.hpp>

#include "support/cluster.h"
#include "support/http.h"

namespace {

constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 2\n";
constexpr const char* kRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 5s\n"
    "idempotent = yes\n";

TEST_CASE("A request is served end to end by separate processes",
          "[process][requests]") {
  test::Cluster cluster;
  cluster.AddMinions(4, 2, 2);
  cluster.PublishHosts();
  cluster.AddEntries(3);
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.StartEntry(i);
  }
  REQUIRE(cluster.PublishTables(kRoutes, kPools, 0) == 0);
  REQUIRE(test::Eventually([&cluster] { return cluster.AllServe(1); }));

  for (const test::EntryProcess& entry : cluster.entries) {
    REQUIRE(test::Eventually([&entry] {
      const test::Response response =
          test::Call(entry.http, "POST", "/route/preview/plan", "room 4");
      return response.status == 200 && response.body == "room 4" &&
             response.headers.at("X-Execution") == "ran";
    }));
  }
  const test::Response unknown =
      test::Call(cluster.entries[0].http, "POST", "/route/nothing", "x");
  REQUIRE(unknown.status == 404);
  REQUIRE(unknown.headers.at("X-Execution") == "not-run");
}

}  // namespace
