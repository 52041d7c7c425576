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
/// A route that needs no advice.
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
  // Takes the empty worker while the advisor is asked about it.
  world.Submit(0, "00000000000000b2", {Tasks(4)}, kNoAdvice);
  world.Run(milliseconds(500));
  REQUIRE(world.Questions() == 1);
  REQUIRE(world.Starts(kGang) == 0);
  world.Run(seconds(2));
  CHECK(world.Starts(kGang, 0, 3) == 1);
  CHECK(world.faults.empty());
}

TEST_CASE("A wide gang gets its room beside small tasks that keep coming",
          "[gang]") {
  StoreWorld world(1, Names(8));
  world.run_time = seconds(1);
  int number = 0;
  // Takes 30 of the 32 cores.
  const auto load = [&world, &number](int tenths) {
    for (int i = 0; i < tenths; ++i) {
      world.Submit(0, fmt::format("{:016x}", ++number), {Tasks(3)}, kNoAdvice);
      world.Run(milliseconds(100));
    }
  };
  load(20);
  world.Submit(0, kGang, {Gang(16)});
  load(40);
  CHECK(world.Starts(kGang, 0, 15) == 1);
  CHECK(world.faults.empty());
}

TEST_CASE("A gang that breaks at a takeover starts again after its last run",
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
  // Either may be looked at first.
  const bool is_turned = GENERATE(false, true);
  WorldWorker& first = world.Worker(used[is_turned ? 1 : 0]);
  WorldWorker& second = world.Worker(used[is_turned ? 0 : 1]);
  REQUIRE(second.runs.size() > 1);
  world.Kill(world.Leader());
  // Until the next leader comes, one member ends at the second worker, and
  // soon after it those at the first; the others take long to stop.
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
  CHECK(world.faults.empty());
}

}  // namespace
}  // namespace basilspread::test
