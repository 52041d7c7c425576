#include <catch2/catch.hpp>

#include "virtual_cluster.h"

namespace test {
namespace {

using basilspread::ErrorKind;
using basilspread::MinionResult;
using basilspread::RouteName;

int TotalRuns(const VirtualCluster& cluster) {
  int runs = 0;
  for (const auto& [name, minion] : cluster.minions) {
    runs += static_cast<int>(minion.runs);
  }
  return runs;
}

/// Three nodes and a pool of three shards, one of which has no host.
struct KeysFixture {
  KeysFixture() : cluster(3, 11) {
    this->cluster.tables.pools.begin()->second.shards = 3;
    this->cluster.AddMinion("m1", 4, "r1");
    this->cluster.AddMinion("m2", 4, "r2");
    this->cluster.Start();
  }

  VirtualCluster cluster;
};

TEST_CASE("A request repeated during the run waits for it through any process",
          "[requests][keys]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  const CallId first = cluster.Call(0, "once", "200000", "key");
  cluster.RunFor(100ms);
  const CallId second = cluster.Call(1, "once", "200000", "key");
  cluster.RunFor(2s);
  REQUIRE(cluster.ResultOf(first).kind == ErrorKind::kNone);
  REQUIRE(cluster.ResultOf(second).kind == ErrorKind::kNone);
  REQUIRE(cluster.ResultOf(second).body == "200000");
  REQUIRE(TotalRuns(cluster) == 1);

  SECTION("a request repeated after the run gets the same answer") {
    const CallId third = cluster.Call(2, "once", "200000", "key");
    cluster.RunFor(100ms);
    REQUIRE(cluster.ResultOf(third).body == "200000");
    REQUIRE(TotalRuns(cluster) == 1);
  }
  SECTION("a different request under the same key is refused") {
    const CallId third = cluster.Call(2, "once", "7", "key");
    cluster.RunFor(100ms);
    REQUIRE(cluster.ResultOf(third).kind == ErrorKind::kConflict);
    REQUIRE(TotalRuns(cluster) == 1);
  }
}

TEST_CASE("A request that did not run may be repeated under its key",
          "[requests][keys]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  bool refuses = true;
  cluster.reply = [&refuses](const basilspread::SendToMinion&) {
    MinionReply reply;
    reply.result = refuses ? MinionResult::kRefused : MinionResult::kAnswered;
    return reply;
  };
  const CallId first = cluster.Call(0, "once", "1000", "key");
  cluster.RunFor(500ms);
  REQUIRE(cluster.ResultOf(first).kind == ErrorKind::kMinionRefused);
  refuses = false;
  const CallId second = cluster.Call(1, "once", "1000", "key");
  cluster.RunFor(500ms);
  REQUIRE(cluster.ResultOf(second).kind == ErrorKind::kNone);
}

TEST_CASE(
    "A non-idempotent request under a key is refused while the log is "
    "down",
    "[requests][keys]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  cluster.log_up = false;
  cluster.RunFor(2s);
  const CallId once = cluster.Call(0, "once", "1000", "key");
  const CallId quick = cluster.Call(0, "quick", "1000", "key");
  cluster.RunFor(100ms);
  REQUIRE(cluster.ResultOf(once).kind == ErrorKind::kLogUnavailable);
  REQUIRE(cluster.ResultOf(quick).kind == ErrorKind::kNone);
}

TEST_CASE("A request does not run if the log fails before its intent is stored",
          "[requests][keys]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  const CallId once = cluster.Call(0, "once", "1000", "key");
  cluster.RunFor(5ms);
  cluster.log_up = false;
  cluster.RunFor(4s);
  REQUIRE(basilspread::AnswerFor(cluster.ResultOf(once).kind).execution ==
          basilspread::Execution::kNotRun);
  REQUIRE(TotalRuns(cluster) == 0);
}

/// The node that runs a request under a key; 3 if there is none.
std::size_t NodeRunningKey(VirtualCluster& cluster) {
  for (std::size_t node = 0; node < 3; ++node) {
    if (!cluster.StateOf(node).requests.keys.runs.empty()) {
      return node;
    }
  }
  return 3;
}

TEST_CASE("A new owner does not rerun a request under a key that may have run",
          "[requests][keys][takeover]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  const CallId first = cluster.Call(0, "once", "400000", "key");
  REQUIRE(cluster.RunUntil([&] { return TotalRuns(cluster) == 1; }, 1s));
  const std::size_t runner = NodeRunningKey(cluster);
  REQUIRE(runner < 3);
  cluster.Kill(runner);
  cluster.RunFor(20s);
  const std::size_t entry = (runner + 1) % 3;
  const CallId repeat = cluster.Call(entry, "once", "400000", "key");
  cluster.RunFor(5s);
  REQUIRE(cluster.IsAnswered(repeat));
  REQUIRE(basilspread::AnswerFor(cluster.ResultOf(repeat).kind).execution !=
          basilspread::Execution::kNotRun);
  REQUIRE(TotalRuns(cluster) == 1);
  if (runner != 0) {
    REQUIRE(cluster.ResultOf(first).kind == ErrorKind::kOutcomeUnknown);
  }
}

TEST_CASE("A new owner returns the logged answer of a key",
          "[requests][keys][takeover]") {
  KeysFixture setup;
  VirtualCluster& cluster = setup.cluster;
  const CallId first = cluster.Call(0, "once", "50000", "key");
  REQUIRE(cluster.RunUntil([&] { return NodeRunningKey(cluster) < 3; }, 1s));
  const std::size_t runner = NodeRunningKey(cluster);
  cluster.RunFor(2s);
  REQUIRE(cluster.ResultOf(first).kind == ErrorKind::kNone);
  cluster.Kill(runner);
  cluster.RunFor(20s);
  const CallId repeat = cluster.Call((runner + 1) % 3, "once", "50000", "key");
  cluster.RunFor(5s);
  REQUIRE(cluster.ResultOf(repeat).kind == ErrorKind::kNone);
  REQUIRE(cluster.ResultOf(repeat).body == "50000");
  REQUIRE(TotalRuns(cluster) == 1);
}

}  // namespace
}  // namespace test
