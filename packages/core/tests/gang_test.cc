#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kGang = "00000000000000a1";
const std::string kOther = "00000000000000b1";
/// Path prefix of a route without advice.
const std::string kNoAdvice = "/previews/";

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(fmt::format("w{}", i));
  }
  return names;
}

StepSpec Gang(std::uint32_t members) {
  StepSpec step = Tasks(members);
  step.gang = true;
  return step;
}

TEST_CASE("A gang does not wait for busy workers while others have room",
          "[gang]") {
  StoreWorld world(1, Names(4));
  world.run_time = seconds(2);
  // Leaves one worker empty.
  world.Submit(0, kOther, {Tasks(12)}, kNoAdvice);
  world.Run(seconds(1));
  world.run_time = seconds(20);
  world.Submit(0, kGang, {Gang(4)});
  // Occupies the empty worker while the advisor is queried about it.
  world.Submit(0, "00000000000000b2", {Tasks(4)}, kNoAdvice);
  world.Run(milliseconds(500));
  REQUIRE(world.AdviceQueries() == 1);
  REQUIRE(world.Starts(kGang) == 0);
  world.Run(seconds(2));
  CHECK(world.Starts(kGang, 0, 3) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A gang that may claim busy workers still queries the free ones",
          "[gang]") {
  StoreWorld world(1, Names(8));
  world.run_time = seconds(2);
  world.Submit(0, kOther, {Tasks(6)}, kNoAdvice);
  world.Run(milliseconds(500));
  world.run_time = seconds(20);
  world.Submit(0, "00000000000000b2", {Tasks(22)}, kNoAdvice);
  world.Run(milliseconds(500));
  world.Submit(0, kGang, {Gang(4)});
  // Occupies the empty worker while the advisor is queried about it. Six cores
  // become free elsewhere, half of them on workers that are likely allowed.
  world.Submit(0, "00000000000000b3", {Tasks(4)}, kNoAdvice);
  world.Run(milliseconds(500));
  REQUIRE(world.Starts(kGang) == 0);
  world.Run(seconds(2));
  CHECK(world.Starts(kGang, 0, 3) == 1);
  CHECK(world.violations.empty());
}

/// A continuous load of small tasks on 30 of 32 cores.
class SmallTasks {
 public:
  explicit SmallTasks(StoreWorld& loaded_world) : world(loaded_world) {
    this->world.run_time = seconds(1);
  }

  void Load(int tenths) {
    for (int i = 0; i < tenths; ++i) {
      this->world.Submit(0, fmt::format("{:016x}", ++this->number), {Tasks(3)},
                         kNoAdvice);
      this->world.Run(milliseconds(100));
    }
  }

 private:
  StoreWorld& world;
  int number = 0;
};

TEST_CASE("A wide gang is placed under a continuous load of small tasks",
          "[gang]") {
  StoreWorld world(1, Names(8));
  SmallTasks tasks(world);
  tasks.Load(20);
  world.Submit(0, kGang, {Gang(16)});
  tasks.Load(40);
  CHECK(world.Starts(kGang, 0, 15) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A gang whose acceptance is refused releases its claims", "[gang]") {
  StoreWorld world(1, Names(8));
  SmallTasks tasks(world);
  tasks.Load(20);
  const Duration store_time = world.store_time;
  // Enough time for advice and claims before the append is refused.
  world.store_time = milliseconds(200);
  world.appends_are_refused = true;
  const CallId refused = world.Submit(0, "00000000000000c1", {Gang(12)});
  world.Run(seconds(1));
  world.appends_are_refused = false;
  world.store_time = store_time;
  REQUIRE(world.AnswerTo(refused));
  REQUIRE(world.AnswerTo(refused)->kind != ErrorKind::kNone);
  tasks.Load(20);
  world.Submit(0, kGang, {Gang(16)});
  tasks.Load(40);
  CHECK(world.Starts(kGang, 0, 15) == 1);
  CHECK(world.StateOf(0).submissions.claims.size() <= 1);
  CHECK(world.violations.empty());
}

TEST_CASE(
    "A gang that breaks at a takeover restarts after its last run has ended",
    "[gang]") {
  StoreWorld world(3, Names(4));
  world.run_time = seconds(60);
  world.end_of = [](const RunName& name) {
    return name.run == Attempt{1} ? RunEnd::kStopped : RunEnd::kSucceeded;
  };
  world.Submit(0, kGang, {Gang(6)}, kNoAdvice);
  world.Run(seconds(1));
  std::vector<std::string> used;
  for (const std::string& name : Names(4)) {
    if (!world.Worker(name).runs.empty()) {
      used.push_back(name);
    }
  }
  REQUIRE(used.size() == 2);
  // Either worker may be polled first.
  const bool is_swapped = GENERATE(false, true);
  FakeWorker& first = world.Worker(used[is_swapped ? 1 : 0]);
  FakeWorker& second = world.Worker(used[is_swapped ? 0 : 1]);
  REQUIRE(second.runs.size() > 1);
  world.Kill(world.Leader());
  // During the takeover one member ends on the second worker. Those on the
  // first end soon after, and the others take long to stop.
  second.ignores_stops = true;
  for (auto& [task, run] : first.runs) {
    run.ends_at = world.Now() + seconds(3);
  }
  for (auto& [task, run] : second.runs) {
    run.ends_at = world.Now() + seconds(6);
  }
  second.runs.begin()->second.ends_at = world.Now();
  world.run_time = milliseconds(200);
  world.Run(seconds(15));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StatusOf(world.Leader(), kGang) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace basilspread::test
