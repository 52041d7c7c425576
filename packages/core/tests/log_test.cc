#include "internal/log.h"

#include <catch2/catch.hpp>

#include "internal/context.h"
#include "internal/ownership.h"
#include "support/fake_cluster.h"

namespace basilspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Appends a record to the streams of all shards that the process serves.
void AppendToOwnedShards(FakeCluster& cluster, std::size_t index) {
  Effects effects;
  internal::Context context{cluster.StateOf(index), cluster.now, effects};
  for (const ShardId& shard : cluster.ServedBy(index)) {
    CancelRecord record;
    record.shard = shard;
    record.epoch = internal::ownership::EpochOf(context, shard);
    internal::log::Append(context, internal::ownership::StreamOf(shard),
                          record);
  }
  cluster.ApplyEffects(index, effects);
}

std::size_t CountCancelRecords(const FakeCluster& cluster,
                               const ShardId& shard) {
  std::size_t count = 0;
  const auto& stream = cluster.streams.at(internal::ownership::StreamOf(shard));
  for (const LogBatch& batch : stream.batches) {
    for (const LogRecord& record : batch.records) {
      count += std::holds_alternative<CancelRecord>(record) ? 1 : 0;
    }
  }
  return count;
}

FakeCluster MakeServingCluster(std::uint32_t shards) {
  FakeCluster cluster(3, shards);
  cluster.StartAll();
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                           seconds(10)));
  return cluster;
}

TEST_CASE("Busy streams keep the append rate within the limit of the log",
          "[log]") {
  FakeCluster cluster = MakeServingCluster(24);
  const std::size_t before = cluster.appends;
  constexpr std::size_t kSeconds = 5;
  for (std::size_t i = 0; i < kSeconds * 100; ++i) {
    for (std::size_t process = 0; process < 3; ++process) {
      AppendToOwnedShards(cluster, process);
    }
    cluster.Run(milliseconds(10));
  }
  const std::size_t each_second = (cluster.appends - before) / kSeconds;
  CAPTURE(each_second);
  REQUIRE(each_second < 300);
  cluster.Run(seconds(1));
  // Every record was stored exactly once.
  for (const ShardId& shard : cluster.Shards()) {
    REQUIRE(CountCancelRecords(cluster, shard) == kSeconds * 100);
  }
}

TEST_CASE("An idle cluster appends nothing for ten minutes", "[log]") {
  FakeCluster cluster = MakeServingCluster(24);
  const std::size_t before = cluster.appends;
  cluster.Run(minutes(10));
  REQUIRE(cluster.appends - before == 0);
}

TEST_CASE("Records that wait in an outage of the log are stored once",
          "[log]") {
  FakeCluster cluster = MakeServingCluster(1);
  const ShardId shard = cluster.Shards().front();
  const std::size_t owner = *cluster.ActorOf(shard);
  cluster.without_log = {0, 1, 2};
  cluster.Run(seconds(3));
  AppendToOwnedShards(cluster, owner);
  cluster.Run(minutes(2));
  Effects effects;
  const internal::Context context{cluster.StateOf(owner), cluster.now, effects};
  REQUIRE_FALSE(internal::log::IsAvailable(context));
  cluster.without_log.clear();
  cluster.Run(seconds(10));
  REQUIRE(CountCancelRecords(cluster, shard) == 1);
  const internal::Context later{cluster.StateOf(owner), cluster.now, effects};
  REQUIRE(internal::log::IsAvailable(later));
}

TEST_CASE("Measured appends", "[.][measure]") {
  FakeCluster cluster(8, 24);
  cluster.StartAll();
  const TimePoint start = cluster.now;
  REQUIRE(cluster.RunUntil([&cluster] { return cluster.AllServed(); },
                           seconds(10)));
  WARN("first claims: " << cluster.appends << " appends in "
                        << (cluster.now - start) / milliseconds(1) << " ms");
  const std::size_t before = cluster.appends;
  cluster.Kill(0);
  cluster.Run(seconds(10));
  WARN("takeover of one of 8: " << cluster.appends - before
                                << " appends in 10 s");
}

}  // namespace
}  // namespace basilspread
