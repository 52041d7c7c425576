#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string IdOf(int number) {
  return "00000000000000" + std::to_string(10 + number);
}

struct World : StoreWorld {
  World() : StoreWorld(2, {"w1", "w2", "w3", "w4"}) {
    REQUIRE(this->Leader() >= 0);
  }
};

TEST_CASE(
    "A worker that fails all its runs makes no submission run out of attempts",
    "[fleet][ejection]") {
  constexpr int kSubmissions = 40;
  World world;
  int failures = 0;
  world.end_of = [&world, &failures](const RunName& name) {
    const bool fails = world.Worker("w1").runs.contains(name.task);
    failures += fails ? 1 : 0;
    return fails ? RunEnd::kFailed : RunEnd::kSucceeded;
  };
  for (int i = 0; i < kSubmissions; ++i) {
    world.Submit(0, IdOf(i), {Tasks(2)});
    world.Run(milliseconds(100));
  }
  world.Run(seconds(5));
  for (int i = 0; i < kSubmissions; ++i) {
    CHECK(world.StatusOf(0, IdOf(i)) == SubmissionState::kCompleted);
  }
  // Four runs fill it at first; then it gets one at a time, at growing
  // intervals.
  CHECK(failures <= 12);
  CHECK(world.violations.empty());
}

TEST_CASE("A submission that always fails ejects no worker",
          "[fleet][ejection]") {
  World world;
  world.end_of = [](const RunName& name) {
    return name.task.submission.value == IdOf(0) ? RunEnd::kFailed
                                                 : RunEnd::kSucceeded;
  };
  world.Submit(0, IdOf(0), {Tasks(4)});
  world.Run(seconds(1));
  CHECK(world.StatusOf(0, IdOf(0)) == SubmissionState::kFailed);
  // All sixteen cores are still available.
  world.run_time = seconds(2);
  world.Submit(0, IdOf(1), {Tasks(16)});
  world.Run(milliseconds(500));
  for (std::uint32_t i = 0; i < 16; ++i) {
    CHECK(world.Starts(IdOf(1), 0, i) == 1);
  }
}

TEST_CASE("A start that was not sent does not count against the worker",
          "[fleet][ejection]") {
  World world;
  world.run_time = seconds(2);
  // Four starts on each worker.
  world.unsent_starts = 16;
  world.Submit(0, IdOf(0), {Tasks(16)});
  // The starts fail, and all are repeated at once.
  world.Run(seconds(1));
  CHECK(world.unsent_starts == 0);
  for (std::uint32_t i = 0; i < 16; ++i) {
    CHECK(world.Starts(IdOf(0), 0, i) == 1);
  }
  CHECK(world.violations.empty());
}

TEST_CASE("Runs without progress are started elsewhere", "[fleet][ejection]") {
  World world;
  world.run_time = seconds(1);
  world.Worker("w1").hangs = true;
  StepSpec step = Tasks(8);
  SECTION("single tasks") {}
  SECTION("a gang") { step.gang = true; }
  world.Submit(0, IdOf(0), {step});
  world.Run(seconds(8));
  CHECK(world.StatusOf(0, IdOf(0)) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE(
    "A gang member that has finished and waits for the others is not stopped",
    "[fleet][ejection]") {
  World world;
  world.run_time = seconds(1);
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Worker(name).end_delay = seconds(6);
  }
  StepSpec step = Tasks(8);
  step.gang = true;
  world.Submit(0, IdOf(0), {step});
  world.Run(seconds(9));
  CHECK(world.StatusOf(0, IdOf(0)) == SubmissionState::kCompleted);
  CHECK(world.Starts(IdOf(0)) == 1);
}

TEST_CASE("A long run that makes progress is not stopped",
          "[fleet][ejection]") {
  World world;
  world.run_time = seconds(40);
  StepSpec step = Tasks(2);
  step.expected_run_time = seconds(2);
  world.Submit(0, IdOf(0), {step});
  world.Run(seconds(42));
  CHECK(world.StatusOf(0, IdOf(0)) == SubmissionState::kCompleted);
  CHECK(world.Starts(IdOf(0)) == 1);
}

TEST_CASE("Submissions that can meet their target start before late ones",
          "[submissions][order]") {
  World world;
  world.run_time = seconds(3);
  world.Submit(0, IdOf(0), {Tasks(16)});
  world.Run(milliseconds(300));
  // Its target is one second, and no core is free for three.
  world.Submit(0, IdOf(1), {Tasks(16)});
  world.Run(milliseconds(2400));
  world.Submit(0, IdOf(2), {Tasks(16)});
  world.Run(milliseconds(1300));
  CHECK(world.Starts(IdOf(2)) == 1);
  CHECK(world.Starts(IdOf(1)) == 0);

  SECTION("and the late submission still completes") {
    world.Run(seconds(8));
    CHECK(world.StatusOf(0, IdOf(1)) == SubmissionState::kCompleted);
  }
}

}  // namespace
}  // namespace basilspread::test
