#include <catch2/catch.hpp>

#include "virtual_cluster.h"

namespace test {
namespace {

using basilspread::ErrorKind;
using basilspread::HostName;
using basilspread::RouteName;

constexpr const char* kQuickWork = "10000";
constexpr const char* kSlowWork = "1000000";

basilspread::Route& RouteOf(VirtualCluster& cluster, const char* name) {
  return cluster.tables.routes.at(RouteName{name});
}

TEST_CASE("Long requests never take the reserved slots", "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 4, "r1");
  cluster.Start();
  for (int i = 0; i < 8; ++i) {
    cluster.Call(0, "slow", kSlowWork);
  }
  cluster.RunFor(10ms);
  REQUIRE(cluster.minions.at(HostName{"m1"}).running == 3);

  const CallId quick = cluster.Call(0, "quick", kQuickWork);
  cluster.RunFor(50ms);
  REQUIRE(cluster.IsAnswered(quick));
}

TEST_CASE(
    "Within a class the shorter request goes first, and ageing lets the "
    "longer one finish",
    "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  cluster.tables.pools.begin()->second.short_reserve_percent = 0;
  RouteOf(cluster, "slow").service_class = basilspread::ServiceClass::kShort;
  cluster.AddMinion("m1", 1, "r1");
  cluster.Start();
  cluster.Call(0, "quick", kQuickWork);
  const CallId slow = cluster.Call(0, "slow", "100000");
  // From here on there is always a backlog of quick requests.
  for (int i = 0; i < 20; ++i) {
    cluster.Call(0, "quick", kQuickWork);
  }
  cluster.RunFor(150ms);
  REQUIRE_FALSE(cluster.IsAnswered(slow));
  REQUIRE(cluster.minions.at(HostName{"m1"}).runs > 10);
  for (int i = 0; i < 1500 && !cluster.IsAnswered(slow); ++i) {
    cluster.Call(0, "quick", kQuickWork);
    cluster.RunFor(10ms);
  }
  REQUIRE(cluster.IsAnswered(slow));
  REQUIRE(cluster.ResultOf(slow).kind == ErrorKind::kNone);
}

TEST_CASE("Measured run times replace a wrong configured run time",
          "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  RouteOf(cluster, "quick").expected_run_time = 10s;
  cluster.AddMinion("m1", 4, "r1");
  cluster.Start();
  for (int i = 0; i < 20; ++i) {
    cluster.Call(0, "quick", kQuickWork);
    cluster.RunFor(50ms);
  }
  const auto& load = cluster.StateOf(0).requests.routes.at(RouteName{"quick"});
  REQUIRE(load.mean_run_time < 15ms);
  REQUIRE(load.mean_run_time > 5ms);
}

TEST_CASE("A request that cannot meet its deadline is refused immediately",
          "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 1, "r1");
  cluster.Start();
  std::vector<CallId> calls;
  for (int i = 0; i < 40; ++i) {
    calls.push_back(cluster.Call(0, "quick", "100000"));
    cluster.RunFor(1ms);
  }
  const CallId late = cluster.Call(0, "quick", "100000", "", 200ms);
  REQUIRE(cluster.IsAnswered(late));
  REQUIRE(cluster.ResultOf(late).kind == ErrorKind::kDeadlineTooShort);
  REQUIRE(cluster.ResultOf(late).answered == cluster.ResultOf(late).sent);
}

TEST_CASE("A wrong run time estimate does not block a route permanently",
          "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 4, "r1");
  cluster.Start();
  for (int i = 0; i < 5; ++i) {
    cluster.Call(0, "slow", "5000000");
  }
  cluster.RunFor(20s);
  // The estimate is now 5 s, but the next request takes only 10 ms.
  const CallId call = cluster.Call(0, "slow", kQuickWork, "", 1s);
  cluster.RunFor(100ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);
}

TEST_CASE("Queues are bounded per route and per team", "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  basilspread::Route& route = RouteOf(cluster, "slow");
  route.queue_limit = 10;
  route.team_share_percent = 50;
  cluster.AddMinion("m1", 1, "r1");
  cluster.tables.pools.begin()->second.short_reserve_percent = 0;
  cluster.Start();
  const auto refused = [&cluster](const std::string& team) {
    const CallId call =
        cluster.Call(0, "slow", kSlowWork, "", Duration{}, team);
    return cluster.IsAnswered(call) &&
           cluster.ResultOf(call).kind == ErrorKind::kQueueFull;
  };
  REQUIRE_FALSE(refused("a"));  // Runs immediately and is not queued.
  for (int i = 0; i < 5; ++i) {
    REQUIRE_FALSE(refused("a"));
  }
  REQUIRE(refused("a"));
  for (int i = 0; i < 5; ++i) {
    REQUIRE_FALSE(refused("b"));
  }
  REQUIRE(refused("c"));
}

TEST_CASE("Queued requests end at their deadline as not run",
          "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  RouteOf(cluster, "quick").admission = "always";
  cluster.AddMinion("m1", 1, "r1");
  cluster.Start();
  cluster.Call(0, "quick", kSlowWork);
  const CallId call = cluster.Call(0, "quick", "7", "", 100ms);
  cluster.RunFor(200ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kDeadlinePassed);
  REQUIRE(cluster.minions.at(HostName{"m1"}).runs_by_body.count("7") == 0);
}

TEST_CASE("The baseline policy serves requests in order of arrival",
          "[requests][policy]") {
  VirtualCluster cluster(1, 1);
  cluster.tables.pools.begin()->second.short_reserve_percent = 0;
  for (auto& [name, route] : cluster.tables.routes) {
    route.order = "fifo";
    route.choice = "round-robin";
    route.admission = "always";
  }
  cluster.AddMinion("m1", 1, "r1");
  cluster.Start();
  cluster.Call(0, "quick", kQuickWork);
  cluster.RunFor(1ms);
  const CallId slow = cluster.Call(0, "slow", kSlowWork);
  cluster.RunFor(1ms);
  const CallId quick = cluster.Call(0, "quick", kQuickWork);
  cluster.RunFor(500ms);
  REQUIRE_FALSE(cluster.IsAnswered(quick));
  cluster.RunFor(2s);
  REQUIRE(*cluster.ResultOf(slow).answered < *cluster.ResultOf(quick).answered);
}

TEST_CASE("Slots of a minion are never exceeded by several entry processes",
          "[requests][policy]") {
  VirtualCluster cluster(3, 7);
  cluster.tables.pools.begin()->second.shards = 4;
  for (int i = 0; i < 6; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 3, "r" + std::to_string(i / 2));
  }
  cluster.Start();
  for (int i = 0; i < 1500; ++i) {
    cluster.Call(i % 3, i % 10 == 0 ? "slow" : "quick",
                 i % 10 == 0 ? "300000" : "20000");
    cluster.RunFor(1ms);
  }
  cluster.RunFor(40s);
  REQUIRE(cluster.overcommits == 0);
  for (const auto& [id, call] : cluster.calls) {
    REQUIRE(call.answered.has_value());
  }
}

}  // namespace
}  // namespace test
