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
const std::size_t kOrders = PeerMessage(HandOrders{}).index();

/// Three processes in each of two zones, and three workers in each.
struct World : StoreWorld {
  World() : StoreWorld(kNodes, kWorkers, RelayMode::kOn) {
    REQUIRE(this->Leader() >= 0);
  }

  /// The process that made the most calls to the worker.
  int HandOf(const std::string& worker) const {
    int best = 0;
    for (int node = 0; node < kNodes; ++node) {
      if (this->CallsBy(node, worker) > this->CallsBy(best, worker)) {
        best = node;
      }
    }
    return best;
  }

  /// A worker that the process calls; empty: none.
  std::string WorkerOf(int node) const {
    for (const std::string& worker : kWorkers) {
      if (this->HandOf(worker) == node) {
        return worker;
      }
    }
    return "";
  }

  /// A process that calls a worker and does not lead.
  int AnyHand() const {
    for (int node = 0; node < kNodes; ++node) {
      if (node != this->Leader() && !this->WorkerOf(node).empty()) {
        return node;
      }
    }
    return -1;
  }

  /// Has every worker called by its hand, so that it is known.
  void WarmUp() {
    this->Submit(0, kSecond, {Tasks(24)}, kNoAdvice);
    this->Run(seconds(2));
    REQUIRE(this->AnyHand() >= 0);
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

TEST_CASE("Processes of the workers' zones make the calls", "[hands]") {
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
    const State& hand = world.StateOf(world.HandOf(worker));
    CHECK(hand.settings.zone == world.Worker(worker).entry.zone);
  }
}

TEST_CASE("Orders of one pass share a message to each hand", "[hands]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(20);
  const int before = world.MessagesBy(world.Leader(), kOrders);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(300));
  REQUIRE(TasksStarted(world, kFirst, 24) == 24);
  // The starts and the looks after them, at five hands at most.
  CHECK(world.MessagesBy(world.Leader(), kOrders) - before <= 10);
}

TEST_CASE("A hand that is lost costs its workers little", "[hands]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(3);
  const int hand = world.AnyHand();
  SECTION("it is killed") { world.Kill(hand); }
  SECTION("its process ends") { world.KillProcess(hand); }
  SECTION("it is frozen") { world.Freeze(hand); }
  SECTION("it is slow") { world.delivery_delay[hand] = milliseconds(600); }
  SECTION("it is cut off from the leader") {
    world.CutLink(hand, world.Leader());
  }
  SECTION("it is cut off from its workers") {
    for (const std::string& worker : kWorkers) {
      world.cut_from_worker.insert({hand, HostName{worker}});
    }
  }
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  // An order and the look that tells that it was lost.
  world.Run(milliseconds(1500));
  CHECK(TasksStarted(world, kFirst, 24) == 24);
  world.Run(seconds(5));
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("Runs go on while their hand is lost", "[hands]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(12);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(1));
  const int hand = world.AnyHand();
  SECTION("it is killed") { world.Kill(hand); }
  SECTION("it is frozen, and thaws") {
    world.Freeze(hand);
    world.Run(seconds(6));
    world.Thaw(hand);
  }
  SECTION("it is cut off from the leader") {
    world.CutLink(hand, world.Leader());
  }
  SECTION("it is cut off from its workers") {
    for (const std::string& worker : kWorkers) {
      world.cut_from_worker.insert({hand, HostName{worker}});
    }
  }
  SECTION("it stops") { world.Stop(hand); }
  world.Run(seconds(14));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("What a frozen hand carries out late starts nothing", "[hands]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(4);
  const int hand = world.AnyHand();
  world.Freeze(hand);
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(1500));
  REQUIRE(TasksStarted(world, kFirst, 24) == 24);
  world.Thaw(hand);
  world.Run(seconds(6));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A hand that stops ends its calls and gets no more", "[hands]") {
  World world;
  world.WarmUp();
  world.measured.clear();
  const int hand = world.AnyHand();
  world.run_time = milliseconds(700);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(300));
  world.Stop(hand);
  world.Run(milliseconds(100));
  const int calls = world.CallsBy(hand);
  world.Run(seconds(3));
  CHECK(world.CallsBy(hand) <= calls);
  CHECK_FALSE(world.measured.contains(Metric::kHandsPaused));
  CHECK_FALSE(world.measured.contains(Metric::kRunsLost));
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A leader whose own link is slow keeps most of its hands",
          "[hands]") {
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
  for (const auto& [node, hand] :
       world.StateOf(leader).submissions.fleet.hands.hands) {
    paused += hand.pauses > 0 ? 1 : 0;
  }
  CHECK(paused <= 2);
  world.delivery_delay.clear();
  world.Run(seconds(5));
  CHECK(world.StatusOf(leader, kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("A starved process gets no calls", "[hands]") {
  World world;
  world.WarmUp();
  const int hand = world.AnyHand();
  world.loads[hand].delay = milliseconds(400);
  world.Run(seconds(3));
  const int calls = world.CallsBy(hand);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(2));
  CHECK(world.CallsBy(hand) == calls);
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("The loss of a hand moves only its own workers", "[hands]") {
  World world;
  world.WarmUp();
  const int hand = world.AnyHand();
  std::vector<std::string> others;
  std::vector<int> hands;
  for (const std::string& worker : kWorkers) {
    if (world.HandOf(worker) != hand) {
      others.push_back(worker);
      hands.push_back(world.HandOf(worker));
    }
  }
  world.Kill(hand);
  world.Run(seconds(1));
  std::vector<int> before;
  for (std::size_t i = 0; i < others.size(); ++i) {
    before.push_back(world.CallsBy(hands[i], others[i]));
  }
  world.Submit(world.Leader(), kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(seconds(2));
  for (std::size_t i = 0; i < others.size(); ++i) {
    CHECK(world.CallsBy(hands[i], others[i]) > before[i]);
    CHECK(world.HandOf(others[i]) == hands[i]);
  }
  world.CheckRunsOnce(kFirst, 24);
}

TEST_CASE("A new leader's calls replace those of the last one", "[hands]") {
  World world;
  world.WarmUp();
  world.run_time = seconds(3);
  world.Submit(0, kFirst, {Tasks(24)}, kNoAdvice);
  world.Run(milliseconds(400));
  const int next = (world.Leader() + 1) % kNodes;
  SECTION("it is handed the lead") { world.MoveLeadership(next); }
  SECTION("the last one is killed") { world.Kill(world.Leader()); }
  SECTION("the last one is frozen, and thaws") {
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
