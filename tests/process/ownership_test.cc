#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <thread>

#include "support/cluster.h"
#include "support/http.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Eventually;

constexpr std::size_t kShards = 6;
constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 6\n";
constexpr const char* kRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 10s\n"
    "idempotent = yes\n";

/// Three entry processes that serve all shards of a pool of minions.
struct ServingCluster {
  test::Cluster cluster;

  ServingCluster() {
    this->cluster.AddMinions(12, 4, 1);
    this->cluster.PublishHosts();
    this->cluster.AddEntries(3);
    for (std::size_t i = 0; i < 3; ++i) {
      this->cluster.StartEntry(i);
    }
    REQUIRE(this->cluster.PublishTables(kRoutes, kPools, 0) == 0);
    REQUIRE(Eventually([this] {
      return this->cluster.AllServe(1) && this->Served().size() == kShards;
    }));
  }

  test::Process& ProcessOf(std::size_t entry) {
    return *this->cluster.entries.at(entry).process;
  }

  /// The shards that the process says it may act on.
  std::set<std::string> ServedBy(std::size_t entry) const {
    std::set<std::string> served;
    const test::Response dump =
        test::Call(this->cluster.entries.at(entry).admin, "GET", "/dump.json",
                   "", {}, milliseconds(500));
    if (dump.status != 200) {
      return served;
    }
    Poco::JSON::Parser parser;
    const auto root =
        parser.parse(dump.body).extract<Poco::JSON::Object::Ptr>();
    const auto rows = root->getArray("shards");
    for (std::size_t i = 0; i < rows->size(); ++i) {
      const auto row = rows->getObject(static_cast<unsigned>(i));
      if (row->getValue<std::string>("may_act") == "yes") {
        served.insert(row->getValue<std::string>("shard"));
      }
    }
    return served;
  }

  std::set<std::string> Served() const {
    std::set<std::string> served;
    for (std::size_t i = 0; i < 3; ++i) {
      served.merge(this->ServedBy(i));
    }
    return served;
  }

  /// Whether all shards are served without this entry process.
  bool IsServedWithout(std::size_t entry) const {
    std::set<std::string> served = this->ServedBy((entry + 1) % 3);
    served.merge(this->ServedBy((entry + 2) % 3));
    return served.size() == kShards;
  }

  bool Request(std::size_t entry) const {
    return test::Call(this->cluster.entries.at(entry).http, "POST",
                      "/route/preview/plan", "room 4")
               .status == 200;
  }

  /// An entry process that serves a shard.
  std::size_t Owner() const {
    for (std::size_t i = 0; i < 3; ++i) {
      if (!this->ServedBy(i).empty()) {
        return i;
      }
    }
    return 0;
  }
};

/// Sends requests through an entry process until it goes out of scope.
class Load {
 public:
  Load(const ServingCluster& serving, std::size_t entry)
      : thread([this, &serving, entry] {
          while (!this->stopping) {
            ++(serving.Request(entry) ? this->answered : this->failed);
          }
        }) {}
  ~Load() { this->Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::atomic<bool> stopping = false;
  std::atomic<int> answered = 0;
  std::atomic<int> failed = 0;

 private:
  std::thread thread;
};

TEST_CASE("The shards of a killed owner are served again",
          "[process][ownership][fault]") {
  ServingCluster serving;
  const std::size_t owner = serving.Owner();
  serving.ProcessOf(owner).Kill();
  REQUIRE(
      Eventually([&serving, owner] { return serving.IsServedWithout(owner); }));
  REQUIRE(Eventually(
      [&serving, owner] { return serving.Request((owner + 1) % 3); }));
}

TEST_CASE("A graceful stop hands its shards over without a failed request",
          "[process][ownership][handover]") {
  ServingCluster serving;
  const std::size_t owner = serving.Owner();
  Load load(serving, (owner + 1) % 3);
  REQUIRE(Eventually([&load] { return load.answered > 20; }));
  serving.ProcessOf(owner).Signal(SIGTERM);
  REQUIRE(serving.ProcessOf(owner).WaitForExit(seconds(20)) == 0);
  REQUIRE(
      Eventually([&serving, owner] { return serving.IsServedWithout(owner); }));
  const int answered = load.answered;
  REQUIRE(
      Eventually([&load, answered] { return load.answered > answered + 20; }));
  load.Stop();
  REQUIRE(load.failed == 0);
}

TEST_CASE("A frozen owner does not act on what it has lost",
          "[process][ownership][fault]") {
  ServingCluster serving;
  const std::size_t owner = serving.Owner();
  const std::set<std::string> lost = serving.ServedBy(owner);
  serving.ProcessOf(owner).Signal(SIGSTOP);
  REQUIRE(
      Eventually([&serving, owner] { return serving.IsServedWithout(owner); }));
  serving.ProcessOf(owner).Signal(SIGCONT);
  for (int i = 0; i < 20; ++i) {
    for (const std::string& shard : serving.ServedBy(owner)) {
      REQUIRE_FALSE(lost.contains(shard));
    }
  }
  REQUIRE(serving.IsServedWithout(owner));
  REQUIRE(Eventually([&serving, owner] { return serving.Request(owner); }));
}

TEST_CASE("All entry processes are replaced one after another",
          "[process][ownership][handover]") {
  ServingCluster serving;
  for (std::size_t i = 0; i < 3; ++i) {
    Load load(serving, (i + 1) % 3);
    serving.ProcessOf(i).Signal(SIGTERM);
    REQUIRE(serving.ProcessOf(i).WaitForExit(seconds(20)) == 0);
    REQUIRE(Eventually([&serving, i] { return serving.IsServedWithout(i); }));
    serving.cluster.StartEntry(i);
    REQUIRE(Eventually([&serving, i] { return serving.Request(i); }));
    load.Stop();
    REQUIRE(load.failed == 0);
  }
}

/// Prints how long the shards of one process were unserved.
void MeasureTakeover(const char* fault, int signal) {
  for (int run = 0; run < 5; ++run) {
    ServingCluster serving;
    const std::size_t owner = serving.Owner();
    const auto start = std::chrono::steady_clock::now();
    serving.ProcessOf(owner).Signal(signal);
    REQUIRE(Eventually(
        [&serving, owner] { return serving.IsServedWithout(owner); }));
    const auto taken = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start);
    WARN(fault << ": served again after " << taken.count() << " ms");
  }
}

TEST_CASE("Takeover times", "[.][measure]") {
  MeasureTakeover("kill -9", SIGKILL);
  MeasureTakeover("graceful stop", SIGTERM);
}

}  // namespace
