#include <catch2/catch.hpp>

#include "virtual_cluster.h"

namespace test {
namespace {

using basilspread::ErrorKind;
using basilspread::HostName;
using basilspread::RouteName;

TEST_CASE("A leaving minion gets no new request and finishes its running ones",
          "[requests][minions]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 2, "r1");
  cluster.Start();
  const CallId running = cluster.Call(0, "slow", "2000000");
  cluster.AddMinion("m2", 2, "r1");
  cluster.SetLeaving("m1");
  cluster.RunFor(1s);
  // Each minion now has one request, so by load alone either could be chosen.
  cluster.Call(0, "slow", "2000000");
  for (int i = 0; i < 10; ++i) {
    cluster.Call(0, "quick", "1000");
    cluster.RunFor(20ms);
  }
  REQUIRE(cluster.minions.at(HostName{"m1"}).runs == 1);
  cluster.RunFor(3s);
  REQUIRE(cluster.ResultOf(running).kind == ErrorKind::kNone);
}

/// Sends `calls` requests, one every 5 ms, while the minion "m0" fails
/// immediately. Returns the number of requests sent to "m0".
int RequestsToFailingMinion(VirtualCluster& cluster, int calls) {
  int sent = 0;
  cluster.reply = [&sent](const basilspread::SendToMinion& send) {
    MinionReply reply;
    if (send.host == HostName{"m0"}) {
      ++sent;
      reply.status = 503;
      return reply;
    }
    reply.work = 20ms;
    return reply;
  };
  for (int i = 0; i < calls; ++i) {
    cluster.Call(0, "quick", std::to_string(i));
    cluster.RunFor(5ms);
  }
  return sent;
}

TEST_CASE("A minion that fails immediately is ejected and recovers in steps",
          "[requests][minions]") {
  VirtualCluster cluster(1, 3);
  for (int i = 0; i < 4; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 4, "r1");
  }
  cluster.Start();
  // 1000 requests in 5 s; without ejection more than 250 would go to m0.
  REQUIRE(RequestsToFailingMinion(cluster, 1000) < 12);

  cluster.reply = nullptr;
  const std::uint32_t before = cluster.minions.at(HostName{"m0"}).runs;
  for (int i = 0; i < 2000; ++i) {
    cluster.Call(0, "quick", "20000");
    cluster.RunFor(5ms);
  }
  REQUIRE(cluster.minions.at(HostName{"m0"}).runs > before + 100);
}

TEST_CASE("Failures common to all minions do not eject them",
          "[requests][minions]") {
  VirtualCluster cluster(1, 3);
  for (int i = 0; i < 4; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 4, "r1");
  }
  cluster.Start();
  cluster.reply = [](const basilspread::SendToMinion&) {
    MinionReply reply;
    reply.status = 500;
    return reply;
  };
  for (int i = 0; i < 400; ++i) {
    cluster.Call(0, "quick", "x");
    cluster.RunFor(2ms);
  }
  const auto& shard = cluster.StateOf(0).requests.shards.begin()->second;
  REQUIRE(shard.ejected <= 1);
}

TEST_CASE("A non-idempotent request is not used as a probe",
          "[requests][minions]") {
  VirtualCluster cluster(1, 3);
  for (int i = 0; i < 4; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 4, "r1");
  }
  cluster.Start();
  RequestsToFailingMinion(cluster, 50);
  cluster.RunFor(40s);
  const std::uint32_t before = cluster.minions.at(HostName{"m0"}).runs;
  for (int i = 0; i < 100; ++i) {
    cluster.Call(0, "once", "x");
    cluster.RunFor(1ms);
  }
  REQUIRE(cluster.minions.at(HostName{"m0"}).runs == before);
}

TEST_CASE("A slot stays held while a lost request may still run",
          "[requests][minions]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 1, "r1");
  cluster.tables.pools.begin()->second.short_reserve_percent = 0;
  cluster.tables.routes.at(RouteName{"quick"}).retries = 0;
  cluster.Start();
  // The deadline is 200 ms, but the minion works for 1.5 s.
  const CallId lost = cluster.Call(0, "quick", "1500000", "", 200ms);
  cluster.RunFor(300ms);
  REQUIRE(cluster.ResultOf(lost).kind == ErrorKind::kOutcomeUnknown);
  const CallId next = cluster.Call(0, "quick", "1000");
  cluster.RunFor(5s);
  REQUIRE(cluster.overcommits == 0);
  REQUIRE(cluster.IsAnswered(next));
}

TEST_CASE(
    "After an unclean takeover slots stay held while requests of the old "
    "owner may run",
    "[requests][minions][takeover]") {
  VirtualCluster cluster(2, 9);
  cluster.tables.routes.at(RouteName{"slow"}).deadline = 20s;
  cluster.AddMinion("m1", 4, "r1");
  cluster.Start();
  const std::size_t owner = *cluster.OwnerOf("pool#0");
  const std::size_t other = 1 - owner;
  for (int i = 0; i < 3; ++i) {
    cluster.Call(owner, "slow", "15000000");
  }
  cluster.Call(owner, "quick", "1500000");
  cluster.RunFor(100ms);
  cluster.Kill(owner);
  std::vector<CallId> calls;
  const TimePoint end = cluster.now + 40s;
  while (cluster.now < end) {
    calls.push_back(cluster.Call(other, "quick", "10000"));
    calls.push_back(cluster.Call(other, "slow", "100000"));
    cluster.RunFor(100ms);
  }
  REQUIRE(cluster.overcommits == 0);
  // The reserved slot is released long before the open ones. All calls are
  // searched, since some slow ones wait until their deadline.
  const bool is_served =
      std::any_of(calls.begin(), calls.end(), [&cluster, end](CallId call) {
        return cluster.IsAnswered(call) &&
               cluster.ResultOf(call).kind == ErrorKind::kNone &&
               *cluster.ResultOf(call).answered < end - 25s;
      });
  REQUIRE(is_served);
}

TEST_CASE("Slots held after a takeover stay held through a clean handover",
          "[requests][minions][takeover]") {
  VirtualCluster cluster(3, 9);
  cluster.tables.routes.at(RouteName{"slow"}).deadline = 20s;
  cluster.AddMinion("m1", 2, "r1");
  cluster.Start();
  const std::size_t first = *cluster.OwnerOf("pool#0");
  cluster.Call(first, "slow", "15000000");
  cluster.Call(first, "quick", "1500000");
  cluster.RunFor(100ms);
  cluster.Kill(first);
  const auto has_moved_from = [&cluster](std::size_t node) {
    const auto owner = cluster.OwnerOf("pool#0");
    return owner && *owner != node;
  };
  REQUIRE(cluster.RunUntil([&] { return has_moved_from(first); }, 10s));
  const std::size_t second = *cluster.OwnerOf("pool#0");
  const std::size_t third = 3 - first - second;
  cluster.Post(second, basilspread::StopRequested{});
  REQUIRE(cluster.RunUntil([&] { return has_moved_from(second); }, 10s));
  for (int i = 0; i < 100; ++i) {
    cluster.Call(third, "slow", "500000");
    cluster.Call(third, "quick", "200000");
    cluster.RunFor(50ms);
  }
  REQUIRE(cluster.overcommits == 0);
}

}  // namespace
}  // namespace test
