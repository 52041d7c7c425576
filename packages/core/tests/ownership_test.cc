#include "basilspread/core/ownership.h"

#include <catch2/catch.hpp>

#include "internal/ownership.h"
#include "support/fake_cluster.h"

namespace basilspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t kShards = 6;

/// Three running processes that own all shards between them.
FakeCluster MakeServingCluster() {
  FakeCluster cluster(3, kShards);
  cluster.StartAll();
  REQUIRE(
      cluster.RunUntil([&cluster] { return cluster.AllServed(); }, seconds(5)));
  cluster.Run(seconds(2));
  return cluster;
}

/// The first of the shards that the process serves.
ShardId ShardOfProcess(FakeCluster& cluster, std::size_t index) {
  const std::vector<ShardId> served = cluster.ServedBy(index);
  REQUIRE_FALSE(served.empty());
  return served.front();
}

std::vector<std::size_t> Others(std::size_t index) {
  return {(index + 1) % 3, (index + 2) % 3};
}

TEST_CASE("Processes that start together divide the shards", "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const std::size_t claims = cluster.CountClaims();
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE_FALSE(cluster.ServedBy(i).empty());
  }
  cluster.Run(minutes(5));
  REQUIRE(cluster.CountClaims() == claims);
  REQUIRE(cluster.AllServed());
}

TEST_CASE("The first of two concurrent claims in log order wins",
          "[ownership]") {
  FakeCluster cluster(2, kShards);
  cluster.DropMessages(0, 1);
  cluster.DropMessages(1, 0);
  cluster.StartAll();
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                           seconds(10)));
  REQUIRE(cluster.CountClaims() > kShards);
}

TEST_CASE("A claim whose answer is lost takes effect once", "[ownership]") {
  FakeCluster cluster(3, kShards);
  cluster.lose_answers = true;
  cluster.StartAll();
  REQUIRE(
      cluster.RunUntil([&cluster] { return cluster.AllServed(); }, seconds(5)));
  cluster.Run(seconds(10));
  REQUIRE(cluster.AllServed());
  for (const ShardId& shard : cluster.Shards()) {
    const std::size_t owner = *cluster.ActorOf(shard);
    REQUIRE(cluster.StateOf(owner).ownership.shards.at(shard).epoch ==
            Epoch{1});
  }
}

TEST_CASE("An owner that dies is replaced", "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 0);
  cluster.Kill(0);
  REQUIRE(
      cluster.RunUntil([&cluster] { return cluster.AllServed(); }, seconds(8)));

  SECTION("and stays out when it comes back") {
    cluster.Start(0);
    cluster.Run(seconds(30));
    REQUIRE(cluster.AllServed());
    REQUIRE(cluster.ActorOf(shard) != std::size_t{0});
  }
  SECTION("also by the last one that is left") {
    cluster.Kill(1);
    REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                             seconds(10)));
  }
}

TEST_CASE("A restarted owner does not act on what it owned", "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 1);
  cluster.Kill(1);
  cluster.Start(1);
  cluster.Run(milliseconds(500));
  REQUIRE_FALSE(cluster.ActorOf(shard));
  REQUIRE(
      cluster.RunUntil([&cluster] { return cluster.AllServed(); }, seconds(8)));
}

TEST_CASE("An owner that was paused reads its stream before it acts",
          "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 0);
  cluster.Pause(0);

  SECTION("after another has taken over") {
    cluster.Run(seconds(3));
    REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                             seconds(7)));
    REQUIRE(cluster.ActorOf(shard) != std::size_t{0});
  }
  SECTION("also when the log fails as it resumes") {
    cluster.Run(seconds(20));
    cluster.without_log = {0, 1, 2};
    cluster.Run(milliseconds(200));
  }
  cluster.Resume(0);
  cluster.Run(seconds(20));
  REQUIRE(cluster.ActorOf(shard) != std::size_t{0});
}

TEST_CASE(
    "A resumed process does not mistake its pause for silence of its peers",
    "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  cluster.Pause(0);
  cluster.Run(seconds(30));
  const std::size_t claims = cluster.CountClaims();
  const std::size_t silent_peer_reports = cluster.silent_peer_reports;
  cluster.Resume(0);
  cluster.Run(seconds(10));
  REQUIRE(cluster.CountClaims() == claims);
  REQUIRE(cluster.silent_peer_reports == silent_peer_reports);
}

TEST_CASE("Owners keep their shards in an outage of the log",
          "[ownership][log]") {
  FakeCluster cluster = MakeServingCluster();
  const std::size_t claims = cluster.CountClaims();
  cluster.without_log = {0, 1, 2};
  for (int second = 0; second < 180; ++second) {
    cluster.Run(seconds(1));
    REQUIRE(cluster.AllServed());
  }
  cluster.without_log.clear();
  cluster.Run(seconds(10));
  REQUIRE(cluster.AllServed());
  REQUIRE(cluster.CountClaims() == claims);
}

TEST_CASE("In an outage of the log the silence of a peer stops the owners",
          "[ownership][log]") {
  FakeCluster cluster = MakeServingCluster();
  cluster.without_log = {0, 1, 2};
  cluster.Run(seconds(30));
  cluster.Kill(2);
  cluster.Run(seconds(5));
  REQUIRE(cluster.ServedBy(0).empty());

  SECTION("until the log is back") {
    cluster.without_log.clear();
    REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                             seconds(10)));
  }
  SECTION("and stay stopped when the silent peer starts its next incarnation") {
    cluster.Start(2);
    cluster.Run(seconds(20));
    REQUIRE(cluster.ServedBy(0).empty());
  }
}

TEST_CASE(
    "In an outage of the log owners go on when a process is known to have "
    "ended",
    "[ownership][log]") {
  FakeCluster cluster = MakeServingCluster();
  const std::vector<ShardId> served = cluster.ServedBy(0);
  cluster.without_log = {0, 1, 2};
  cluster.Run(seconds(30));
  cluster.Kill(2, true);
  for (int second = 0; second < 60; ++second) {
    cluster.Run(seconds(1));
    REQUIRE(cluster.ServedBy(0) == served);
  }

  SECTION("and all shards are served when the log is back") {
    cluster.without_log.clear();
    REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                             seconds(10)));
  }
  SECTION("and count on its next incarnation once that was heard") {
    cluster.Start(2);
    cluster.Run(seconds(5));
    REQUIRE(cluster.ServedBy(0) == served);
    cluster.Kill(2);
    cluster.Run(seconds(5));
    REQUIRE(cluster.ServedBy(0).empty());
  }
}

TEST_CASE("An owner that one peer does not hear keeps its shards",
          "[ownership][membership]") {
  FakeCluster cluster = MakeServingCluster();
  const std::size_t claims = cluster.CountClaims();
  cluster.DropMessages(0, 1);
  cluster.Run(minutes(1));
  REQUIRE(cluster.CountClaims() == claims);
  REQUIRE(cluster.AllServed());
}

TEST_CASE("A process that is isolated", "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 0);
  for (const std::size_t other : Others(0)) {
    cluster.DropMessages(0, other);
    cluster.DropMessages(other, 0);
  }
  SECTION("from its peers loses its shards by claims in the log") {
    cluster.Run(seconds(20));
    for (int second = 0; second < 30; ++second) {
      cluster.Run(seconds(1));
      REQUIRE(cluster.ActorOf(shard));
    }
  }
  SECTION("from its peers and the log stops before another acts") {
    cluster.without_log = {0};
    cluster.Run(seconds(20));
    REQUIRE(cluster.ServedBy(0).empty());
    REQUIRE(cluster.AllServed());
  }
}

TEST_CASE("A deposed owner without the log does not act when peers are back",
          "[ownership]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 0);
  cluster.Pause(0);
  cluster.Run(seconds(3));
  // It resumes just as the others claim and cannot read the claim.
  cluster.without_log = {0};
  cluster.Resume(0);
  cluster.Run(seconds(20));
  REQUIRE(cluster.ActorOf(shard) != std::size_t{0});
}

TEST_CASE("A graceful stop hands the shards to successors",
          "[ownership][handover]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 1);
  const std::size_t claims = cluster.CountClaims();
  const std::size_t released = cluster.ServedBy(1).size();
  cluster.RequestStop(1);
  REQUIRE(cluster.RunUntil(
      [&cluster] { return cluster.processes[1].exited && cluster.AllServed(); },
      milliseconds(600)));
  REQUIRE(cluster.ActorOf(shard) != std::size_t{1});
  cluster.Run(seconds(10));
  // Only the successors have claimed.
  REQUIRE(cluster.CountClaims() == claims + released);
}

TEST_CASE("All processes are replaced one after another",
          "[ownership][handover]") {
  FakeCluster cluster = MakeServingCluster();
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.RequestStop(i);
    REQUIRE(cluster.RunUntil(
        [&cluster, i] { return cluster.processes[i].exited; }, seconds(1)));
    cluster.Kill(i);
    cluster.Start(i);
    cluster.Run(seconds(1));
    REQUIRE(cluster.AllServed());
  }
}

TEST_CASE("A graceful stop ends in time in an outage of the log",
          "[ownership][handover]") {
  FakeCluster cluster = MakeServingCluster();
  cluster.without_log = {0, 1, 2};
  cluster.Run(seconds(5));
  cluster.RequestStop(0);
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.processes[0].exited; },
                           seconds(3)));
  cluster.Run(seconds(10));
  REQUIRE_FALSE(cluster.ServedBy(1).empty());
  cluster.without_log.clear();
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                           seconds(10)));
}

TEST_CASE("Records count only if written by the owner in the epoch in force",
          "[ownership][log]") {
  FakeCluster cluster = MakeServingCluster();
  const ShardId shard = ShardOfProcess(cluster, 0);
  const ProcessId owner = cluster.StateOf(0).settings.self;
  const StreamName stream = internal::ownership::StreamOf(shard);
  Effects effects;
  const internal::Context context{cluster.StateOf(0), cluster.now, effects};
  const auto is_in_force = [&context, &stream](const ProcessId& writer,
                                               const LogRecord& record) {
    return internal::ownership::IsInForce(context, stream, writer, record);
  };
  const Epoch epoch = internal::ownership::EpochOf(context, shard);
  CancelRecord record;
  record.shard = shard;
  record.epoch = epoch;
  REQUIRE(is_in_force(owner, record));

  SECTION("not by another process") {
    REQUIRE_FALSE(is_in_force(cluster.StateOf(1).settings.self, record));
    REQUIRE_FALSE(
        is_in_force(ProcessId{owner.node, owner.incarnation + 1}, record));
  }
  SECTION("not of an earlier or later epoch") {
    record.epoch = Epoch{epoch.value - 1};
    REQUIRE_FALSE(is_in_force(owner, record));
    record.epoch = Epoch{epoch.value + 1};
    REQUIRE_FALSE(is_in_force(owner, record));
  }
  SECTION("not in the stream of another shard") {
    record.shard = ShardId{"layout#999"};
    REQUIRE_FALSE(is_in_force(owner, record));
  }
  SECTION("not once a claim of a higher epoch stands before it") {
    cluster.AppendRaw(stream, ProcessId{NodeName{"entry-9"}, 1},
                      ClaimRecord{shard, Epoch{epoch.value + 1},
                                  ProcessId{NodeName{"entry-9"}, 1}});
    cluster.Run(seconds(1));
    REQUIRE_FALSE(is_in_force(owner, record));
    REQUIRE_FALSE(cluster.MayAct(0, shard));
  }
}

TEST_CASE("Ownership outlives the expiry of its claim", "[ownership][log]") {
  FakeCluster cluster(3, 1);
  cluster.settings.log_retention = seconds(40);
  cluster.StartAll();
  cluster.Run(seconds(27));
  const ShardId shard = cluster.Shards().front();
  const StreamName stream = internal::ownership::StreamOf(shard);
  const std::size_t owner = *cluster.ActorOf(shard);
  const Epoch epoch = cluster.StateOf(owner).ownership.shards.at(shard).epoch;

  SECTION("a checkpoint stands in for the claim that has expired") {
    REQUIRE(cluster.streams[stream].End() >= 3);
    cluster.TrimStream(stream, cluster.streams[stream].End() - 1);
  }
  SECTION("a claim after all records have expired has a higher epoch") {
    cluster.TrimStream(stream, cluster.streams[stream].End());
  }
  SECTION("a losing claim does not count after its winner has expired") {
    const ProcessId loser{NodeName{"entry-9"}, 1};
    const std::uint64_t end = cluster.streams[stream].End();
    cluster.AppendRaw(stream, loser, ClaimRecord{shard, epoch, loser});
    cluster.Run(seconds(15));
    cluster.TrimStream(stream, end);
  }
  cluster.Run(seconds(1));
  REQUIRE(cluster.ActorOf(shard) == owner);
  cluster.Kill(owner);
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                           seconds(10)));
  const std::size_t next = *cluster.ActorOf(shard);
  REQUIRE(cluster.StateOf(next).ownership.shards.at(shard).epoch > epoch);
}

}  // namespace
}  // namespace basilspread
