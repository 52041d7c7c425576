#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "support/store_world.h"

// A leader that loses the store and its peers does not learn of the next one.
// On workers that only it reaches, its permission to act has to end by time.

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000c1";
const std::string kSecond = "00000000000000c2";
const std::string kNoAdvice = "/previews/";
constexpr int kNodes = 4;

struct World : StoreWorld {
  World() : StoreWorld(kNodes, {"w1", "w2", "w3", "w4"}) {
    REQUIRE(this->Leader() >= 0);
  }

  int Other(int node) const { return (node + 1) % kNodes; }

  const LeadershipState& Leadership(int node) const {
    return this->StateOf(node).submissions.leadership;
  }

  /// Cuts these processes and workers off from the store and from all others.
  void CutOff(const std::set<int>& inside, const std::set<std::string>& names) {
    this->cut_from_store = inside;
    for (int node = 0; node < kNodes; ++node) {
      const bool is_inside = inside.contains(node);
      for (int other = 0; other < kNodes; ++other) {
        if (is_inside && !inside.contains(other)) {
          this->CutLink(node, other);
        }
      }
      for (const std::string name : {"w1", "w2", "w3", "w4"}) {
        if (is_inside != names.contains(name)) {
          this->cut_from_worker.insert({node, HostName{name}});
        }
      }
    }
  }

  /// Occupies all workers for long.
  void Fill() {
    this->run_time = seconds(40);
    this->Submit(this->Leader(), kFirst, {Tasks(16)}, kNoAdvice);
    this->Run(seconds(1));
    REQUIRE(this->Worker("w1").runs.size() == 4);
  }

  /// Ends the runs on the worker and frees its capacity.
  void FinishRunsOn(const std::string& name) {
    for (auto& [task, run] : this->Worker(name).runs) {
      run.ends_at = this->Now();
    }
  }

  void CheckNoViolation() const {
    for (const std::string& violation : this->violations) {
      UNSCOPED_INFO(violation);
    }
    CHECK(this->violations.empty());
  }
};

TEST_CASE("A leader that is cut off with a worker lets its leases lapse",
          "[cut-off-leader][leadership][takeover]") {
  World world;
  world.Fill();
  const int former = world.Leader();
  world.CutOff({former}, {"w1"});
  world.Run(seconds(3));
  world.FinishRunsOn("w2");
  world.FinishRunsOn("w3");
  world.Run(seconds(15));
  world.CheckNoViolation();
  CHECK(world.Worker("w1").runs.empty());
}

TEST_CASE(
    "A leader that is cut off with a relay and a worker restarts no task there "
    "beside the next leader",
    "[cut-off-leader][leadership][takeover]") {
  World world;
  // No run ends with success, so that tasks are restarted without end.
  world.run_time = milliseconds(900);
  world.end_of = [](const RunName& /*name*/) { return RunEnd::kStopped; };
  const int former = world.Leader();
  world.Submit(former, kFirst, {Tasks(16)}, kNoAdvice);
  world.Run(milliseconds(500));
  world.CutOff({former, world.Other(former)}, {"w1"});
  world.Run(seconds(20));
  world.CheckNoViolation();
}

TEST_CASE("A next leader finds no run of the former one on an unlisted worker",
          "[cut-off-leader][leadership][takeover]") {
  World world;
  world.Fill();
  const int former = world.Leader();
  world.CutOff({former, world.Other(former)}, {"w1"});
  world.Worker("w1").is_unlisted = true;
  world.Run(seconds(3));
  world.FinishRunsOn("w2");
  world.FinishRunsOn("w3");
  world.Run(seconds(15));
  world.CheckNoViolation();
}

TEST_CASE(
    "A leader that leads again after another one knows what that accepted",
    "[cut-off-leader][leadership][takeover]") {
  World world;
  const int former = world.Leader();
  world.cut_from_store = {former};
  for (int node = 0; node < kNodes; ++node) {
    if (node != former) {
      world.CutLink(former, node);
    }
  }
  world.Run(seconds(4));
  int next = -1;
  for (int node = 0; node < kNodes; ++node) {
    if (node != former &&
        world.Leadership(node).phase == LeaderPhase::kLeading) {
      next = node;
    }
  }
  REQUIRE(next >= 0);
  const CallId accepted = world.Submit(next, kSecond, {Tasks(2)}, kNoAdvice);
  world.Run(milliseconds(300));
  REQUIRE(world.AnswerTo(accepted));
  REQUIRE(world.AnswerTo(accepted)->kind == ErrorKind::kNone);
  for (int node = 0; node < kNodes; ++node) {
    if (node != former) {
      world.Kill(node);
    }
  }
  // Their memberships expire, so that the first join names the former leader.
  world.Run(seconds(2));
  world.cut_from_store.clear();
  for (int i = 0; i < 150; ++i) {
    const CallId call =
        world.SendCall(former, SubmissionOperation::kStatus, kSecond);
    world.Run(milliseconds(20));
    const auto answer = world.AnswerTo(call);
    CHECK_FALSE((answer && answer->kind == ErrorKind::kUnknownSubmission));
  }
  CHECK(world.StatusOf(former, kSecond) == SubmissionState::kCompleted);
  world.CheckNoViolation();
}

TEST_CASE(
    "A process that the former leader never heard waits for its last proof",
    "[cut-off-leader][leadership][takeover]") {
  World world;
  const int former = world.Leader();
  const int unheard = (former + 3) % kNodes;
  world.Kill(unheard);
  // The store confirms the leader for long enough to leave the process out.
  world.Run(seconds(15));
  world.Fill();
  std::set<int> inside;
  for (int node = 0; node < kNodes; ++node) {
    if (node != unheard) {
      inside.insert(node);
    }
  }
  world.CutOff(inside, {"w1"});
  world.Restart(unheard);
  world.Run(seconds(3));
  REQUIRE(world.Leadership(unheard).phase == LeaderPhase::kLeading);
  world.FinishRunsOn("w2");
  world.FinishRunsOn("w3");
  // Its peers' word keeps the former leader going.
  world.Run(seconds(17));
  CHECK(world.Worker("w1").runs.size() == 4);
  world.Run(seconds(25));
  CHECK(world.Leadership(former).phase == LeaderPhase::kLeading);
  CHECK(world.Worker("w1").runs.empty());
  world.CheckNoViolation();
}

TEST_CASE("A leader whose relay knows of a higher epoch takes over anew",
          "[cut-off-leader][leadership][relays]") {
  World world;
  world.Fill();
  const int leader = world.Leader();
  const Epoch before = world.Leadership(leader).epoch;
  const Epoch higher{before.value + 50};
  const int relay = world.Other(leader);
  world.Inject(relay, PeerReceived{world
                                       .StateOf((relay + 1) % kNodes == leader
                                                    ? (relay + 2) % kNodes
                                                    : (relay + 1) % kNodes)
                                       .settings.self,
                                   RelayOrders{higher, {}}});
  world.Run(seconds(3));
  CHECK(world.Leader() == leader);
  CHECK(world.Leadership(leader).epoch > higher);
  CHECK(world.Worker("w1").runs.size() == 4);
  world.CheckNoViolation();
}

TEST_CASE(
    "A leader acts without the store only as long as each witness confirms it",
    "[cut-off-leader][leadership][store-outage]") {
  World world;
  world.Fill();
  const int leader = world.Leader();
  world.store_is_down = true;
  world.Run(seconds(10));
  REQUIRE(world.Worker("w1").runs.size() == 4);
  world.CutLink(leader, world.Other(leader));
  world.Run(seconds(9));
  CHECK(world.Worker("w1").runs.empty());
  // What lapsed does not come back by the witnesses' word.
  world.HealLink(leader, world.Other(leader));
  const int starts = world.Starts(kFirst, 0, 0);
  world.Run(seconds(10));
  CHECK(world.Starts(kFirst, 0, 0) == starts);
  world.store_is_down = false;
  world.Run(seconds(3));
  CHECK(world.Starts(kFirst, 0, 0) == starts + 1);
  world.CheckNoViolation();
}

TEST_CASE("A leader that was suspended starts nothing before a new proof",
          "[cut-off-leader][leadership]") {
  World world;
  const int leader = world.Leader();
  world.run_time = seconds(1);
  StepSpec next = Tasks(4);
  next.after = {0};
  world.Submit(leader, kFirst, {Tasks(4), next}, kNoAdvice);
  world.Run(milliseconds(500));
  REQUIRE(world.Starts(kFirst, 0, 0) == 1);
  world.store_is_down = true;
  world.Inject(leader, Resumed{seconds(5)});
  world.Run(seconds(5));
  CHECK(world.Starts(kFirst, 1, 0) == 0);
  world.store_is_down = false;
  world.Run(seconds(6));
  CHECK(world.Starts(kFirst, 1, 0) == 1);
  world.CheckNoViolation();
}

TEST_CASE("Accepted work goes on while the store is away for all",
          "[leadership][store-outage]") {
  World world;
  world.run_time = seconds(8);
  StepSpec next = Tasks(8);
  next.after = {0};
  const int leader = world.Leader();
  world.Submit(leader, kFirst, {Tasks(16), next}, kNoAdvice);
  world.Run(seconds(1));
  world.store_is_down = true;
  world.Run(seconds(24));
  CHECK(world.Leader() == leader);
  for (std::uint32_t i = 0; i < 16; ++i) {
    CHECK(world.Starts(kFirst, 0, i) == 1);
  }
  for (std::uint32_t i = 0; i < 8; ++i) {
    CHECK(world.Starts(kFirst, 1, i) == 1);
  }
  world.store_is_down = false;
  world.Run(seconds(4));
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  world.CheckNoViolation();
}

}  // namespace
}  // namespace basilspread::test
