#include <signal.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>
#include <string>

#include "support/cluster.h"
#include "support/http.h"

namespace {

using test::Call;
using test::Cluster;
using test::Eventually;
using test::Response;

constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 1\n";
constexpr const char* kRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 5s\n"
    "idempotent = yes\nretries = 1\n"
    "[route order]\npool = layout\nclass = short\ndeadline = 5s\n"
    "[route brief]\npool = layout\nclass = short\ndeadline = 1s\n";

/// A field of a minion's statistics.
int Stat(const test::MinionProcess& minion, const std::string& name) {
  const std::string body = Call(minion.port, "GET", "/stats").body;
  const std::string field = "\"" + name + "\":";
  const std::size_t at = body.find(field);
  return at == std::string::npos ? -1
                                 : std::atoi(body.c_str() + at + field.size());
}

int TotalRuns(const Cluster& cluster) {
  int runs = 0;
  for (const test::MinionProcess& minion : cluster.minions) {
    runs += Stat(minion, "ran");
  }
  return runs;
}

void StartAll(Cluster& cluster, int entries, int minions) {
  cluster.AddMinions(minions, 2, minions);
  cluster.PublishHosts();
  cluster.AddEntries(entries);
  for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
    cluster.StartEntry(i);
  }
  REQUIRE(cluster.PublishTables(kRoutes, kPools, 0) == 0);
  REQUIRE(Eventually([&cluster] { return cluster.AllServe(1); }));
  for (const test::EntryProcess& entry : cluster.entries) {
    REQUIRE(Eventually([&entry] {
      return Call(entry.http, "POST", "/route/preview", "x").status == 200;
    }));
  }
}

/// The entry process that owns the only shard.
std::size_t OwnerOf(const Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
    const std::string dump =
        Call(cluster.entries[0].admin, "GET", "/dump.json").body;
    if (dump.find("\"owner\": \"" + cluster.entries[i].name + "\"") !=
        std::string::npos) {
      return i;
    }
  }
  return cluster.entries.size();
}

std::string ExecutionOf(const Response& response) {
  const auto found = response.headers.find("X-Execution");
  return found == response.headers.end() ? "" : found->second;
}

TEST_CASE("A leaving minion finishes its requests and gets no new ones",
          "[process][requests]") {
  Cluster cluster;
  StartAll(cluster, 1, 2);
  const std::uint16_t http = cluster.entries[0].http;
  test::MinionProcess& leaving = cluster.minions[0];
  auto running = std::async(std::launch::async, [http] {
    return Call(http, "POST", "/route/order", "x", {{"X-Work", "2000"}});
  });
  auto beside = std::async(std::launch::async, [http] {
    return Call(http, "POST", "/route/order", "x", {{"X-Work", "2000"}});
  });
  REQUIRE(Eventually([&] { return Stat(leaving, "running") == 1; }));
  leaving.leaving = true;
  cluster.PublishHosts();
  // The list is read anew until no request reaches the minion any more.
  REQUIRE(Eventually(
      [&] {
        const int before = Stat(leaving, "ran");
        for (int i = 0; i < 20; ++i) {
          Call(http, "POST", "/route/preview", "x");
        }
        return Stat(leaving, "ran") == before;
      },
      std::chrono::seconds(3)));
  const int before = Stat(leaving, "ran");
  for (int i = 0; i < 50; ++i) {
    REQUIRE(Call(http, "POST", "/route/preview", "x").status == 200);
  }
  REQUIRE(Stat(leaving, "ran") == before);
  REQUIRE(running.get().status == 200);
  REQUIRE(beside.get().status == 200);
}

TEST_CASE("A minion that fails at once is ejected", "[process][requests]") {
  Cluster cluster;
  StartAll(cluster, 1, 4);
  Call(cluster.minions[0].port, "PUT", "/mode/fail");
  const int before = Stat(cluster.minions[0], "ran");
  int failures = 0;
  for (int i = 0; i < 200; ++i) {
    const Response response =
        Call(cluster.entries[0].http, "POST", "/route/preview", "x");
    failures += response.status == 200 ? 0 : 1;
  }
  REQUIRE(failures == 0);
  REQUIRE(Stat(cluster.minions[0], "ran") - before < 20);
}

TEST_CASE("A minion that freezes or dribbles is given up at the deadline",
          "[process][requests]") {
  Cluster cluster;
  StartAll(cluster, 1, 1);
  const std::uint16_t http = cluster.entries[0].http;

  SECTION("frozen") { cluster.minions[0].process->Signal(SIGSTOP); }
  SECTION("dribbling") {
    Call(cluster.minions[0].port, "PUT", "/mode/dribble");
  }
  const Response response =
      Call(http, "POST", "/route/brief", "x", {}, std::chrono::seconds(10));
  REQUIRE(response.status == 504);
  REQUIRE(ExecutionOf(response) == "unknown");
  cluster.minions[0].process->Signal(SIGCONT);
}

TEST_CASE(
    "A request under a key runs once through two entry processes, also "
    "when the owner dies between",
    "[process][requests]") {
  Cluster cluster;
  StartAll(cluster, 3, 2);
  const test::Headers key = {{"Idempotency-Key", "stock-move-7"}};
  const int before = TotalRuns(cluster);
  const Response first =
      Call(cluster.entries[0].http, "POST", "/route/order", "move", key);
  REQUIRE(first.status == 200);
  REQUIRE(TotalRuns(cluster) == before + 1);
  const Response second =
      Call(cluster.entries[1].http, "POST", "/route/order", "move", key);
  REQUIRE(second.status == 200);
  REQUIRE(second.body == "move");
  REQUIRE(TotalRuns(cluster) == before + 1);

  const std::size_t owner = OwnerOf(cluster);
  REQUIRE(owner < 3);
  cluster.entries[owner].process->Kill();
  const std::uint16_t other = cluster.entries[(owner + 1) % 3].http;
  // The answer is known where its record left before the end of the owner;
  // the intent always did.
  REQUIRE(Eventually([&] {
    const Response repeat = Call(other, "POST", "/route/order", "move", key);
    const bool is_recorded =
        ExecutionOf(repeat) == "ran" && repeat.body == "move";
    return is_recorded || ExecutionOf(repeat) == "unknown";
  }));
  REQUIRE(TotalRuns(cluster) == before + 1);
}

TEST_CASE(
    "The caller of a non-idempotent request whose owner is killed hears "
    "that the outcome is unknown",
    "[process][requests]") {
  Cluster cluster;
  StartAll(cluster, 3, 2);
  const std::size_t owner = OwnerOf(cluster);
  REQUIRE(owner < 3);
  const std::uint16_t http = cluster.entries[(owner + 1) % 3].http;
  const int before = TotalRuns(cluster);
  auto running = std::async(std::launch::async, [http] {
    return Call(http, "POST", "/route/order", "x", {{"X-Work", "4000"}});
  });
  REQUIRE(Eventually([&] { return TotalRuns(cluster) == before + 1; }));
  cluster.entries[owner].process->Kill();
  const Response response = running.get();
  REQUIRE(ExecutionOf(response) == "unknown");
  REQUIRE(TotalRuns(cluster) == before + 1);
}

}  // namespace
