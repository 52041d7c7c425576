#include "basilspread/core/configuration.h"

#include <catch2/catch.hpp>

#include "basilspread/core/reducer.h"

namespace basilspread {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// Returns tables of one route and one pool, named by the texts of the edit.
Result<Tables> Parse(const TablesRecord& record) {
  if (record.route_table == "unreadable") {
    return Error{ErrorKind::kInvalidTables, "unknown key"};
  }
  Tables tables;
  Pool pool;
  pool.name.value = record.pool_table;
  pool.shards = record.author == "resharder" ? 2 : 1;
  pool.kind =
      record.pool_table == "workers" ? PoolKind::kWorkers : PoolKind::kMinions;
  tables.pools.emplace(pool.name, pool);
  Route route;
  route.name.value = record.route_table;
  route.pool = pool.name;
  route.deadline = kSecond;
  tables.routes.emplace(route.name, route);
  return tables;
}

/// A process state that reads a tables stream supplied by the test.
struct Reader {
  Reader() : state(MakeSettings(), MakeHooks()) { this->Reduce(Started{}); }

  static Settings MakeSettings() {
    Settings settings;
    settings.self = ProcessId{NodeName{"entry-1"}, 1};
    settings.peers = {NodeName{"entry-2"}};
    return settings;
  }

  static Hooks MakeHooks() {
    Hooks hooks = DefaultHooks();
    hooks.parse_tables = Parse;
    return hooks;
  }

  void Reduce(EventBody body) {
    this->effects =
        basilspread::Reduce(this->state, Event{this->now, std::move(body)});
  }

  /// Delivers one read of the tables stream.
  void Read(Offset first, std::vector<LogRecord> records, bool at_end = true) {
    LogRead read;
    read.stream = TablesStream();
    read.ok = true;
    read.from = this->next;
    read.first_kept = first;
    Offset offset = std::max(first, this->next);
    for (LogRecord& record : records) {
      LogBatch batch;
      batch.writer = ProcessId{NodeName{"basilctl"}, ++this->writer};
      batch.id = AppendId{1};
      batch.records.push_back(std::move(record));
      read.batches.push_back(StoredBatch{offset, std::move(batch)});
      ++offset.value;
    }
    this->next = offset;
    read.next = offset;
    read.at_end = at_end;
    this->Reduce(read);
  }

  void FireTimer(TimerKind kind, Duration later) {
    this->now += later;
    this->Reduce(TimerFired{kind});
  }

  /// Submits a request of the route; returns the answer's kind if it is
  /// answered immediately.
  std::optional<ErrorKind> ImmediateAnswer(const std::string& route) {
    RequestArrived request;
    request.call = CallId{++this->writer};
    request.route.value = route;
    this->Reduce(request);
    for (const Effect& effect : this->effects) {
      if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        return answer->kind;
      }
    }
    return std::nullopt;
  }

  /// The checkpoint that the last event appended; unset if there is none.
  std::optional<TablesCheckpointRecord> Checkpoint() {
    this->FireTimer(TimerKind::kLogAppend, kSecond);
    for (const Effect& effect : this->effects) {
      const auto* append = std::get_if<AppendLog>(&effect);
      if (append != nullptr && append->stream == TablesStream()) {
        return std::get<TablesCheckpointRecord>(append->batch.records.back());
      }
    }
    return std::nullopt;
  }

  TablesVersion VersionInForce() const {
    return this->state.configuration.tables.version;
  }

  State state;
  Effects effects;
  TimePoint now;
  Offset next;
  std::uint64_t writer = 0;
};

TablesRecord Edit(std::uint64_t base, const std::string& route,
                  const std::string& pool, const std::string& author = "a") {
  return TablesRecord{TablesVersion{base}, author, route, pool};
}

TEST_CASE("A process refuses requests until it knows the tables in force",
          "[configuration]") {
  Reader reader;
  REQUIRE(reader.ImmediateAnswer("old") == ErrorKind::kNotReady);
  reader.Read(Offset{0}, {Edit(0, "old", "pool")}, false);
  REQUIRE(reader.ImmediateAnswer("old") == ErrorKind::kNotReady);
  reader.Read(Offset{0}, {Edit(1, "new", "pool")});
  REQUIRE(reader.ImmediateAnswer("old") == ErrorKind::kUnknownRoute);
  REQUIRE(reader.ImmediateAnswer("new") == ErrorKind::kNoHost);
}

TEST_CASE("A checkpoint preserves the newest tables after their records expire",
          "[configuration]") {
  Reader reader;
  reader.Read(Offset{0}, {Edit(0, "old", "pool"), Edit(1, "new", "pool")});
  reader.FireTimer(TimerKind::kConfiguration, kSecond);
  REQUIRE_FALSE(reader.Checkpoint());
  reader.FireTimer(TimerKind::kConfiguration, std::chrono::minutes(11));
  const auto checkpoint = reader.Checkpoint();
  REQUIRE(checkpoint);
  REQUIRE(checkpoint->version == TablesVersion{2});
  REQUIRE(checkpoint->covered == Offset{2});

  SECTION("a new process starts from the checkpoint alone") {
    Reader replacement;
    replacement.Read(Offset{2}, {*checkpoint});
    REQUIRE(replacement.VersionInForce() == TablesVersion{2});
    REQUIRE(replacement.ImmediateAnswer("new") == ErrorKind::kNoHost);
  }
  SECTION(
      "a new process with an empty stream waits until a peer writes a "
      "checkpoint") {
    Reader replacement;
    replacement.Read(Offset{2}, {});
    REQUIRE(replacement.ImmediateAnswer("new") == ErrorKind::kNotReady);
    reader.Read(Offset{0}, {*checkpoint});
    reader.Reduce(PeerReceived{ProcessId{NodeName{"entry-2"}, 1}, Heartbeat{}});
    reader.state.log.streams.at(TablesStream()).in_flight.reset();
    reader.now += std::chrono::seconds(3);
    reader.Reduce(PeerReceived{ProcessId{NodeName{"entry-2"}, 1}, Heartbeat{}});
    reader.FireTimer(TimerKind::kConfiguration, Duration::zero());
    REQUIRE(reader.Checkpoint());
  }
}

TEST_CASE("Accepted tables that cannot be applied keep their version",
          "[configuration]") {
  Reader reader;
  reader.Read(Offset{0}, {Edit(0, "old", "pool")});

  SECTION("the old tables stay in force and the reason is reported") {
    reader.Read(Offset{0}, {Edit(1, "unreadable", "pool")});
    REQUIRE(reader.VersionInForce() == TablesVersion{1});
    REQUIRE(reader.state.configuration.history.version() == TablesVersion{2});
    REQUIRE(reader.state.configuration.apply_error == "unknown key");
    reader.Read(Offset{0}, {Edit(2, "new", "pool")});
    REQUIRE(reader.VersionInForce() == TablesVersion{3});
    REQUIRE(reader.state.configuration.apply_error.empty());
  }
  SECTION("a change of the shard count of a pool is rejected") {
    reader.Read(Offset{0}, {Edit(1, "new", "pool", "resharder")});
    REQUIRE(reader.VersionInForce() == TablesVersion{1});
    REQUIRE(reader.state.configuration.apply_error.find("shards") !=
            std::string::npos);
  }
}

TEST_CASE("A removed route and its pool drain before they are dropped",
          "[configuration]") {
  Reader reader;
  reader.Read(Offset{0}, {Edit(0, "old", "old pool")});
  reader.Read(Offset{0}, {Edit(1, "new", "new pool")});
  REQUIRE(reader.ImmediateAnswer("old") == ErrorKind::kUnknownRoute);
  const Tables& tables = reader.state.configuration.tables;
  REQUIRE(tables.routes.at(RouteName{"old"}).draining);
  REQUIRE(tables.pools.at(PoolName{"old pool"}).draining);
  reader.FireTimer(TimerKind::kConfiguration, std::chrono::minutes(1));
  REQUIRE_FALSE(tables.routes.contains(RouteName{"old"}));
  REQUIRE_FALSE(tables.pools.contains(PoolName{"old pool"}));

  SECTION("a removed pool of workers stays, since jobs have no time limit") {
    reader.Read(Offset{0}, {Edit(2, "new", "workers")});
    reader.Read(Offset{0}, {Edit(3, "new", "new pool")});
    reader.FireTimer(TimerKind::kConfiguration, std::chrono::hours(24));
    REQUIRE(tables.pools.at(PoolName{"workers"}).draining);
  }
}

}  // namespace
}  // namespace basilspread
