#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

#include "support/cluster.h"
#include "support/http.h"
#include "support/run.h"

namespace {

constexpr const char* kPools = "[pool layout]\ngroup = minions\nshards = 1\n";

std::string Routes(const std::string& deadline) {
  return "[route preview]\npool = layout\ndeadline = " + deadline +
         "\nidempotent = yes\n";
}

/// Three entry processes, with what an operator types to reach them.
struct Fixture {
  Fixture() {
    this->cluster.AddMinions(1, 2, 1);
    this->cluster.PublishHosts();
    this->cluster.AddEntries(3);
    std::string admin;
    for (std::size_t i = 0; i < this->cluster.entries.size(); ++i) {
      this->cluster.StartEntry(i);
      admin += fmt::format("{}127.0.0.1:{}", i == 0 ? "" : ",",
                           this->cluster.entries[i].admin);
    }
    this->addresses = this->Write(
        "cluster.ini",
        fmt::format("[cluster]\nlog = 127.0.0.1:{}\nhosts = "
                    "127.0.0.1:{}\nadmin = {}\n",
                    this->cluster.log_port, this->cluster.hosts_port, admin));
  }

  std::string Write(const std::string& name, const std::string& text) const {
    std::string path = this->cluster.folder + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  test::Output Ctl(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(), {"--config", this->addresses});
    return test::RunBasilctl(arguments);
  }

  /// Publishes and waits until the edit is in force on every process.
  test::Output Publish(const std::string& author, const std::string& deadline,
                       int base, const std::string& pools = kPools) const {
    return this->Ctl({"publish", "--base", std::to_string(base), "--author",
                      author, "--routes",
                      this->Write(author + "-routes.ini", Routes(deadline)),
                      "--pools", this->Write(author + "-pools.ini", pools),
                      "--wait", "--timeout", "13s"});
  }

  void SetLog(const std::string& mode) const {
    test::Call(this->cluster.log_port, "POST", "/control", mode);
  }

  test::Cluster cluster;
  std::string addresses;
};

TEST_CASE("An accepted edit is in force on every process",
          "[process][configuration]") {
  const Fixture fixture;
  const auto first = fixture.Publish("isla", "5s", 0);
  INFO(first.out << first.err);
  REQUIRE(first.status == 0);
  const auto second = fixture.Publish("ewan", "6s", 1);
  INFO(second.out << second.err);
  REQUIRE(second.status == 0);
  WARN("time to be in force, from the confirmed append: " << second.out);

  const auto shown = fixture.Ctl({"show"});
  REQUIRE(shown.out.find("version 2 author ewan") != std::string::npos);
  REQUIRE(fixture.Ctl({"status"}).status == 0);
  REQUIRE(fixture.Ctl({"dump", "entry-2"}).out.find("configuration") !=
          std::string::npos);

  SECTION("an edit against an old version is refused with the winner's name") {
    const auto late = fixture.Publish("mairi", "7s", 1);
    REQUIRE(late.status == 3);
    REQUIRE(late.err.find("winner=ewan") != std::string::npos);
    REQUIRE(late.err.find("deadline: 6s -> 7s") != std::string::npos);
  }
  SECTION("the shard count of a pool cannot be changed") {
    const auto refused = fixture.Publish(
        "mairi", "7s", 2, "[pool layout]\ngroup = minions\nshards = 2\n");
    REQUIRE(refused.status == 2);
    REQUIRE(refused.err.find("shards") != std::string::npos);
  }
}

TEST_CASE("Of two edits of one version, one wins everywhere",
          "[process][configuration]") {
  const Fixture fixture;
  REQUIRE(fixture.Publish("isla", "5s", 0).status == 0);
  test::Output ewan;
  test::Output mairi;
  std::thread racer([&] { ewan = fixture.Publish("ewan", "6s", 1); });
  mairi = fixture.Publish("mairi", "7s", 1);
  racer.join();
  INFO(ewan.out << ewan.err << mairi.out << mairi.err);
  REQUIRE(ewan.status + mairi.status == 3);
  const bool has_ewan_won = ewan.status == 0;
  const std::string winner = has_ewan_won ? "ewan" : "mairi";
  REQUIRE((has_ewan_won ? mairi : ewan).err.find("winner=" + winner) !=
          std::string::npos);
  for (const test::EntryProcess& entry : fixture.cluster.entries) {
    const auto dump = fixture.Ctl({"dump", entry.name, "--json"});
    REQUIRE(dump.out.find("\"author\": \"" + winner + "\"") !=
            std::string::npos);
  }
}

TEST_CASE("Tables survive outages, lost answers and replaced processes",
          "[process][configuration]") {
  Fixture fixture;
  REQUIRE(fixture.Publish("isla", "5s", 0).status == 0);

  SECTION("an edit in an outage is refused; the tables stay in force") {
    fixture.SetLog("down");
    REQUIRE(fixture.Publish("ewan", "6s", 1).status == 4);
    REQUIRE(fixture.cluster.AllServe(1));
    fixture.SetLog("up");
    REQUIRE(fixture.Publish("ewan", "6s", 1).status == 0);
  }
  SECTION("an edit whose answer was lost is settled and counts once") {
    fixture.SetLog("lose-answers");
    const auto published = fixture.Publish("ewan", "6s", 1);
    INFO(published.out << published.err);
    REQUIRE(published.status == 0);
    REQUIRE(fixture.Ctl({"show"}).out.find("version 2 author ewan") !=
            std::string::npos);
  }
  SECTION("a replaced process takes no traffic before it has the newest") {
    REQUIRE(fixture.Publish("ewan", "6s", 1).status == 0);
    test::EntryProcess& entry = fixture.cluster.entries[0];
    entry.process->Kill();
    fixture.SetLog("down");
    fixture.cluster.StartEntry(0);
    REQUIRE(test::Eventually([&entry] {
      return test::Call(entry.http, "POST", "/route/preview/x").status == 503;
    }));
    fixture.SetLog("up");
    REQUIRE(
        test::Eventually([&fixture] { return fixture.cluster.AllServe(2); }));
  }
  SECTION("a process that starts after every record expired is helped") {
    REQUIRE(fixture.Publish("ewan", "6s", 1).status == 0);
    fixture.SetLog("expire tables 0");
    const std::string kept =
        test::Call(fixture.cluster.log_port, "GET", "/streams/tables").body;
    INFO(kept);
    REQUIRE(kept.find("\"first\":0") == std::string::npos);
    fixture.cluster.entries[0].process->Kill();
    fixture.cluster.StartEntry(0);
    REQUIRE(
        test::Eventually([&fixture] { return fixture.cluster.AllServe(2); }));
    const auto published = fixture.Publish("mairi", "7s", 2);
    INFO(published.out << published.err << fixture.Ctl({"history"}).out);
    REQUIRE(published.status == 0);
  }
}

}  // namespace
