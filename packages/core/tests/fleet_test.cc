#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000c1";

struct World : StoreWorld {
  World() : StoreWorld(2, {"w1", "w2"}) { REQUIRE(this->Leader() >= 0); }
};

/// Number of workers that the leader visits for a submission of three tasks.
std::uint64_t VisitsAmong(int workers) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(workers));
  for (int i = 0; i < workers; ++i) {
    names.push_back("w" + std::to_string(100 + i));
  }
  StoreWorld world(2, names);
  REQUIRE(world.Leader() >= 0);
  const FleetState& fleet = world.StateOf(world.Leader()).submissions.fleet;
  const std::uint64_t before = fleet.workers_visited;
  world.Submit(0, kFirst, {Tasks(3)});
  world.Run(seconds(2));
  REQUIRE(world.Starts(kFirst, 0, 2) == 1);
  return fleet.workers_visited - before;
}

TEST_CASE("The cost of polls and ends does not depend on the number of workers",
          "[fleet]") {
  CHECK(VisitsAmong(400) == VisitsAmong(20));
}

TEST_CASE("A stop that was not executed is repeated at once", "[fleet]") {
  World world;
  world.run_time = seconds(20);
  world.Submit(0, kFirst, {Tasks(1)});
  world.Run(milliseconds(300));
  const std::string holder = world.Worker("w1").runs.empty() ? "w2" : "w1";
  SECTION("its answer is lost") { world.Worker(holder).lost_stops = 2; }
  SECTION("it is refused") { world.Worker(holder).refused_stops = 2; }
  world.SendCall(0, SubmissionOperation::kCancel, kFirst);
  // The time of two lost answers; less than the 1.5 s wait of a long poll.
  world.Run(milliseconds(600));
  CHECK(world.Worker(holder).runs.empty());
}

TEST_CASE("Runs of a worker that was removed start elsewhere", "[fleet]") {
  World world;
  world.run_time = seconds(2);
  world.Submit(0, kFirst, {Tasks(5)});
  world.Run(milliseconds(500));
  world.RemoveWorker("w1");
  // The time of a lease, its margins, and the run itself.
  world.Run(seconds(12));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE(
    "Runs of a partitioned worker start elsewhere after their leases lapse",
    "[fleet]") {
  World world;
  world.run_time = seconds(20);
  world.Submit(0, kFirst, {Tasks(1)});
  world.Run(milliseconds(500));
  const std::string holder = world.Worker("w1").runs.empty() ? "w2" : "w1";
  world.Worker(holder).is_silent = true;
  world.Run(seconds(4));
  CHECK(world.Starts(kFirst) == 1);
  world.Run(seconds(6));
  CHECK(world.Starts(kFirst) == 2);
  CHECK(world.violations.empty());
}

TEST_CASE("A start that is executed late does not run a task twice",
          "[fleet]") {
  World world;
  world.run_time = seconds(3);
  world.start_delay = seconds(2);
  world.Submit(0, kFirst, {Tasks(2)});
  world.Run(milliseconds(400));
  world.start_delay = Duration::zero();
  world.Run(seconds(8));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("While polls are being lost, ends are still seen within 1.1 s",
          "[fleet]") {
  World world;
  world.run_time = milliseconds(400);
  // The first lost poll switches to short waits.
  world.Worker("w1").lost_polls = 1;
  world.Worker("w2").lost_polls = 1;
  world.Submit(0, kFirst, {Tasks(8)});
  world.Run(seconds(4));
  for (int i = 0; i < 3; ++i) {
    world.Worker("w1").lost_polls = 1;
    const std::string id = "00000000000000d" + std::to_string(i);
    world.Submit(0, id, {Tasks(8)});
    // The run, the time-out of the lost poll, and the calls.
    world.Run(milliseconds(1100));
    const CallId call =
        world.SendCall(world.Leader(), SubmissionOperation::kStatus, id);
    world.Run(milliseconds(10));
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->state == SubmissionState::kCompleted);
  }
  CHECK(world.violations.empty());
}

TEST_CASE("A worker that restarted refuses late calls to its former life",
          "[fleet]") {
  StoreWorld world(3, {"w1", "w2"});
  REQUIRE(world.Leader() >= 0);
  world.run_time = seconds(1);
  world.Submit(0, "00000000000000a1", {Tasks(8)});
  world.Run(milliseconds(500));
  // Late calls carry this fence and acknowledge ends of the former life.
  const std::uint64_t fence = world.Worker("w1").fence;
  world.RestartWorker("w1");
  world.Run(milliseconds(100));
  CHECK(world.Worker("w1").fence > fence);
  world.Run(seconds(5));
  CHECK(world.StatusOf(0, "00000000000000a1") == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

/// A world whose workers list few ends in one answer. It has 40 tasks that end
/// while no end can be stored, so that most ends are not listed.
struct TruncatedEndsWorld : StoreWorld {
  static constexpr std::uint32_t kTasks = 40;

  TruncatedEndsWorld() : StoreWorld(3, {"w1", "w2"}) {
    REQUIRE(this->Leader() >= 0);
    this->max_listed_ends = 4;
    this->run_time = milliseconds(100);
    this->Submit(this->Leader(), kFirst, {Tasks(kTasks)});
    this->Run(milliseconds(20));
  }

  void CheckEachTaskRanOnce() const {
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      INFO("task " << i);
      CHECK(this->Starts(kFirst, 0, i) == 1);
    }
    CHECK(this->violations.empty());
  }
};

// A run whose end stood beyond the limit of the list was taken for lost, and
// its task started again although it had succeeded.
TEST_CASE("A task whose end exceeds the limit of a worker's list runs once",
          "[fleet]") {
  TruncatedEndsWorld world;
  SECTION("appends are refused") { world.appends_are_refused = true; }
  SECTION("the store is down") { world.store_is_down = true; }
  world.Run(seconds(2));
  world.appends_are_refused = false;
  world.store_is_down = false;
  world.Run(seconds(4));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kCompleted);
  world.CheckEachTaskRanOnce();
}

// The new leader took the first part of the list for all ends and started the
// tasks whose ends it had not read.
TEST_CASE("A new leader reads all ends of a worker before it starts its tasks",
          "[fleet]") {
  TruncatedEndsWorld world;
  world.appends_are_refused = true;
  world.Run(seconds(1));
  world.Kill(world.Leader());
  world.appends_are_refused = false;
  world.Run(seconds(8));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  world.CheckEachTaskRanOnce();
}

}  // namespace
}  // namespace basilspread::test
