#include "basilspread/core/membership.h"

#include <catch2/catch.hpp>

#include "internal/context.h"
#include "internal/membership.h"
#include "support/fake_cluster.h"

namespace basilspread {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

bool HearsPeer(FakeCluster& cluster, std::size_t index, const NodeName& node) {
  Effects effects;
  const internal::Context context{cluster.StateOf(index), cluster.now, effects};
  const auto& peers = cluster.StateOf(index).membership.peers;
  const auto peer = peers.find(node);
  return peer != peers.end() &&
         internal::membership::IsLive(context, peer->second);
}

TEST_CASE("A link that is silent in one direction is reopened",
          "[membership]") {
  FakeCluster cluster(2, 1);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.DropMessagesUntilReopened(0, 1);
  cluster.Run(seconds(4));
  REQUIRE(cluster.reopened >= 1);
  cluster.Run(seconds(2));
  REQUIRE(HearsPeer(cluster, 1, NodeName{"entry-0"}));
}

TEST_CASE("A peer that is not in the settings is discovered and later removed",
          "[membership]") {
  FakeCluster cluster(1, 1);
  cluster.StartAll();
  cluster.Run(seconds(2));
  const ProcessId unknown_peer{NodeName{"entry-9"}, 5};
  const auto knows = [&cluster, &unknown_peer] {
    return cluster.StateOf(0).membership.peers.contains(unknown_peer.node);
  };
  SECTION("by its record in the log") {
    cluster.AppendRaw(StreamName{"members"}, unknown_peer,
                      MemberRecord{unknown_peer, "127.0.0.1:7000", false});
    cluster.Run(seconds(6));
  }
  SECTION("by its heartbeat") {
    Heartbeat heartbeat;
    heartbeat.number = 1;
    heartbeat.address = "127.0.0.1:7000";
    cluster.Deliver(0, PeerReceived{unknown_peer, heartbeat});
    REQUIRE(HearsPeer(cluster, 0, unknown_peer.node));
  }
  REQUIRE(knows());
  REQUIRE(cluster.StateOf(0).membership.peers.at(unknown_peer.node).address ==
          "127.0.0.1:7000");
  cluster.Run(minutes(2));
  REQUIRE_FALSE(knows());
}

TEST_CASE("Late messages of an earlier incarnation are ignored",
          "[membership]") {
  FakeCluster cluster(2, 1);
  cluster.StartAll();
  cluster.Run(seconds(2));
  cluster.Kill(1);
  cluster.Start(1);
  cluster.Run(seconds(2));
  Heartbeat late;
  late.number = 1'000;
  cluster.Deliver(0, PeerReceived{ProcessId{NodeName{"entry-1"}, 1}, late});
  REQUIRE(
      cluster.StateOf(0).membership.peers.at(NodeName{"entry-1"}).incarnation ==
      2);
}

TEST_CASE(
    "The number of peers is limited when many unknown nodes send heartbeats",
    "[membership]") {
  FakeCluster cluster(1, 1);
  cluster.StartAll();
  for (int i = 0; i < 2'000; ++i) {
    cluster.Deliver(
        0, PeerReceived{ProcessId{NodeName{"x" + std::to_string(i)}, 1},
                        Heartbeat{}});
  }
  REQUIRE(cluster.StateOf(0).membership.peers.size() <= 256);
}

TEST_CASE("The version of a peer with another protocol version is recorded",
          "[membership]") {
  FakeCluster cluster(2, 1);
  cluster.Start(0);
  cluster.Deliver(0, PeerVersionMismatched{NodeName{"entry-1"}, 9});
  REQUIRE(cluster.StateOf(0)
              .membership.peers.at(NodeName{"entry-1"})
              .other_version == 9U);
}

}  // namespace
}  // namespace basilspread
