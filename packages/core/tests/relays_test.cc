#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000f1";
const std::string kSecond = "00000000000000f2";
const std::vector<std::string> kWorkers = {"w1", "w2", "w3", "w4", "w5", "w6"};
/// A route that needs no advice.
const std::string kNoAdvice = "/previews/";
constexpr int kNodes = 6;
const std::size_t kOrders = PeerMessage(RelayOrders{}).index();

/// Three processes in each of two zones, and three workers in each.
struct World : StoreWorld {
  World() : StoreWorld(kNodes, kWorkers, RelayMode::kOn) {
    REQUIRE(this->Leader() >= 0);
  }

  /// The process that made the most calls to the worker.
  int RelayOf(const std::string& worker) const {
    int best = 0;
    for (int node = 0; node < kNodes; ++node) {
      if (this->CallsBy(node, worker) > this->CallsBy(best, worker)) {
        best = node;
      }
    }
    return best;
  }

  /// A worker whose relay is the process; empty if there is none.
  std::string WorkerOf(int node) const {
    for (const std::string& worker : kWorkers) {
      if (this->RelayOf(worker) == node) {
        return worker;
      }
    }
    return "";
  }

  /// A relay that is not the leader; -1 if there is none.
  int AnyRelay() const {
    for (int node = 0; node < kNodes; ++node) {
      if (node != this->Leader() && !this->WorkerOf(node).empty()) {
        return node;
      }
    }
    return -1;
  }

  /// Has every worker called by its relay, so that the relays are known.
  void WarmUp() {
    this->Submit(0, kSecond, {Tasks(24)}, kNoAdvice);
    this->Run(seconds(2));
    REQUIRE(this->AnyRelay() >= 0);
  }

  void CheckRunsOnce(const std::string& id, std::uint32_t count) {
    CHECK(this->StatusOf(this->Leader(), id) == SubmissionState::kCompleted);
    for (std::uint32_t i = 0; i < count; ++i) {
      CHECK(this->Starts(id, 0, i) == 1);
    }
    CHECK(this->violations.empty());
  }
};

int TasksStarted(const World& world, const std::string& id, int count) {
  int started = 0;
  for (int i = 0; i < count; ++i) {
    started += world.Starts(id, 0, static_cast<std::uint32_t>(i)) > 0 ? 1 : 0;
  }
  return started;
}

TEST_CASE("Relays in the workers' zones make the calls", "[relays]") {
  World world;
  world.WarmUp();
  std::vector<int> before;
  before.reserve(kNodes);
  for (int node = 0; node < kNodes; ++node) {
    before.push_back(world.CallsBy(node));
  }
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(2));
  world.CheckRunsOnce(kFirst, 24);
  CHECK(world.CallsBy(world.Leader()) == before[world.Leader()]);
  for (const std::string& worker : kWorkers) {
    const State& relay = world.StateOf(world.RelayOf(worker));
    CHECK(relay.settings.zone == world.Worker(worker).entry.zone);
  }
}

TEST_CASE("Orders of one pass share a message to each relay", "[relays]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(20);
  const int before = world.MessagesBy(world.Leader(), kOrders);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(300));
  REQUIRE(TasksStarted(world, kFirst, 24) == 24);
  // One message with the starts and one with the polls that follow, for each
  // of at most five relays.
  CHECK(world.MessagesBy(world.Leader(), kOrders) - before <= 10);
}

TEST_CASE("The loss of a relay delays its workers only briefly", "[relays]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(3);
  const int relay = world.AnyRelay();
  SECTION("it is killed") { world.Kill(relay); }
  SECTION("its process ends") { world.KillProcess(relay); }
  SECTION("it is frozen") { world.Freeze(relay); }
  SECTION("it is slow") { world.delivery_delay[relay] = milliseconds(600); }
  SECTION("it is cut off from the leader") {
    world.CutLink(relay, world.Leader());
  }
  SECTION("it is cut off from its workers") {
    for (const std::string& worker : kWorkers) {
      world.cut_from_worker.insert({relay, HostName{worker}});
    }
  }
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  // Time for an order and for the poll that shows that it was lost.
  world.Run(milliseconds(1500));
  CHECK(TasksStarted(world, kFirst, 24) == 24);
  world.Run(seconds(5));
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("Runs continue when their worker's relay is lost", "[relays]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(12);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(1));
  const int relay = world.AnyRelay();
  SECTION("it is killed") { world.Kill(relay); }
  SECTION("it is frozen, and thaws") {
    world.Freeze(relay);
    world.Run(seconds(6));
    world.Thaw(relay);
  }
  SECTION("it is cut off from the leader") {
    world.CutLink(relay, world.Leader());
  }
  SECTION("it is cut off from its workers") {
    for (const std::string& worker : kWorkers) {
      world.cut_from_worker.insert({relay, HostName{worker}});
    }
  }
  SECTION("it stops") { world.Stop(relay); }
  world.Run(seconds(14));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("Orders that a frozen relay carries out late start nothing",
          "[relays]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(4);
  const int relay = world.AnyRelay();
  world.Freeze(relay);
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(1500));
  REQUIRE(TasksStarted(world, kFirst, 24) == 24);
  world.Thaw(relay);
  world.Run(seconds(6));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A relay that stops finishes its calls and gets no more",
          "[relays]") {
  World world;
  world.WarmUp();
  world.measured.clear();
  const int relay = world.AnyRelay();
  world.run_time = milliseconds(700);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(300));
  world.Stop(relay);
  world.Run(milliseconds(100));
  const int calls = world.CallsBy(relay);
  world.Run(seconds(3));
  CHECK(world.CallsBy(relay) <= calls);
  CHECK_FALSE(world.measured.contains(Metric::kRelaysPaused));
  CHECK_FALSE(world.measured.contains(Metric::kRunsLost));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A leader whose own link is slow keeps most of its relays",
          "[relays]") {
  World world;
  world.WarmUp();
  const int leader = world.Leader();
  for (int node = 0; node < kNodes; ++node) {
    if (node != leader) {
      world.delivery_delay[node] = milliseconds(180);
    }
  }
  world.run_time = seconds(2);
  world.Submit(leader, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(1));
  std::size_t paused = 0;
  for (const auto& [node, relay] :
       world.StateOf(leader).submissions.fleet.relays.relays) {
    paused += relay.pauses > 0 ? 1 : 0;
  }
  CHECK(paused <= 2);
  world.delivery_delay.clear();
  world.Run(seconds(5));
  CHECK(world.StatusOf(leader, kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("An overloaded relay gets no calls", "[relays]") {
  World world;
  world.WarmUp();
  const int relay = world.AnyRelay();
  world.loads[relay].delay = milliseconds(400);
  world.Run(seconds(3));
  const int calls = world.CallsBy(relay);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(2));
  CHECK(world.CallsBy(relay) == calls);
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("The loss of a relay reassigns only its own workers", "[relays]") {
  World world;
  world.WarmUp();
  const int relay = world.AnyRelay();
  std::vector<std::string> others;
  std::vector<int> relays;
  for (const std::string& worker : kWorkers) {
    if (world.RelayOf(worker) != relay) {
      others.push_back(worker);
      relays.push_back(world.RelayOf(worker));
    }
  }
  world.Kill(relay);
  world.Run(seconds(1));
  std::vector<int> before;
  for (std::size_t i = 0; i < others.size(); ++i) {
    before.push_back(world.CallsBy(relays[i], others[i]));
  }
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(2));
  for (std::size_t i = 0; i < others.size(); ++i) {
    CHECK(world.CallsBy(relays[i], others[i]) > before[i]);
    CHECK(world.RelayOf(others[i]) == relays[i]);
  }
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A new leader's calls replace those of the previous leader",
          "[relays]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(3);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(400));
  const int next = (world.Leader() + 1) % kNodes;
  SECTION("the leadership is moved") { world.MoveLeadership(next); }
  SECTION("the previous leader is killed") { world.Kill(world.Leader()); }
  SECTION("the previous leader is frozen, and thaws") {
    const int last = world.Leader();
    world.Freeze(last);
    world.Run(seconds(3));
    world.Thaw(last);
  }
  world.Run(seconds(10));
  REQUIRE(world.Leader() >= 0);
  world.CheckRunsOnce(kFirst, 24);
}

}  // namespace
}  // namespace basilspread::test
