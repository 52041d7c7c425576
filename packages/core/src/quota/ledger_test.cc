#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/quota_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load: one workspace sends much more than its quota holds, and another one
// sends as usual. Guards against tasks beyond the quota, and against a queue of
// the first workspace that holds up the other.
TEST_CASE("A workspace stays within its quota and does not hold up others",
          "[quota]") {
  QuotaWorld world;
  world.run_time = milliseconds(600);
  for (int i = 0; i < 6; ++i) {
    world.SubmitAs("first", i, {Tasks(6)});
  }
  world.Run(milliseconds(200));
  CHECK(world.Running("first") == 3);
  world.SubmitAs("other", 0, {Tasks(10)});
  world.Run(milliseconds(200));
  CHECK(world.Running("other") == 10);
  CHECK(world.MostRunning(seconds(9)) == 3);
  CHECK(world.StatusOf(0, WorkspaceId("other", 0)) ==
        SubmissionState::kCompleted);
}

// Guards against a start that is carried out after its answer was lost, beside
// others that took its place in the quota.
TEST_CASE("Starts without an answer count against the quota", "[quota]") {
  QuotaWorld world;
  world.run_time = seconds(1);
  world.start_delay = milliseconds(700);
  world.SubmitAs("first", 0, {Tasks(8)});
  CHECK(world.MostRunning(seconds(4)) <= 3);
  CHECK(world.violations.empty());
}

// Guards against a new leader that does not count what runs on a worker that
// does not answer it.
TEST_CASE("The quota holds after a takeover with a silent worker", "[quota]") {
  QuotaWorld world;
  world.run_time = seconds(20);
  world.SubmitAs("first", 0, {Tasks(3)});
  world.SubmitAs("first", 1, {Tasks(3)});
  world.Run(milliseconds(300));
  REQUIRE(world.Running("first") == 3);
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Worker(name).is_silent = !world.Worker(name).runs.empty();
  }
  world.Kill(world.Leader());
  world.Run(seconds(3));
  REQUIRE(world.Leader() >= 0);
  world.SubmitAs("first", 2, {Tasks(3)});
  CHECK(world.MostRunning(seconds(4)) == 3);
}

// Guards against a ledger that no longer counts what waits for a silent worker
// once other submissions of the workspace need not wait, and against one that
// counts these twice.
TEST_CASE("The quota holds while only some submissions wait after a takeover",
          "[quota][takeover-wait]") {
  QuotaWorld world;
  world.run_time = seconds(60);
  world.SubmitAs("first", 0, {Tasks(2)});
  world.Run(milliseconds(300));
  REQUIRE(world.Running("first") == 2);
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Worker(name).is_silent = !world.Worker(name).runs.empty();
  }
  world.KillProcess(world.Leader());
  CHECK(world.MostRunning(seconds(1)) == 2);
  REQUIRE(world.Leader() >= 0);
  // Accepted when nothing is started on the silent worker any more.
  world.SubmitAs("first", 1, {Tasks(3)});
  CHECK(world.MostRunning(milliseconds(300)) == 3);
  world.KillProcess(world.Leader());
  CHECK(world.MostRunning(seconds(12)) == 3);
}

TEST_CASE("A lower quota ends nothing, and a higher one starts what waits",
          "[quota]") {
  QuotaWorld world;
  world.run_time = seconds(3);
  world.SubmitAs("first", 0, {Tasks(6)});
  world.Run(milliseconds(200));
  REQUIRE(world.Running("first") == 3);
  SECTION("lower") {
    world.PublishWorkspaces(MakeQuotaTable(1));
    world.Run(seconds(2));
    CHECK(world.Running("first") == 3);
    world.Run(milliseconds(1500));
    CHECK(world.Running("first") == 1);
  }
  SECTION("higher") {
    world.PublishWorkspaces(MakeQuotaTable(6));
    world.Run(milliseconds(500));
    CHECK(world.Running("first") == 6);
  }
  SECTION("the workspace is dropped") {
    world.PublishWorkspaces(WorkspaceTable{});
    world.Run(seconds(5));
    world.PublishWorkspaces(MakeQuotaTable(3));
    world.Run(milliseconds(1500));
    world.api_key = "first";
    CHECK(world.StatusOf(0, WorkspaceId("first", 0)) ==
          SubmissionState::kCompleted);
  }
}

// Load: single tasks of the workspace arrive faster than its quota lets them
// run. Guards against a gang that waits for ever for the whole quota.
TEST_CASE("A gang gets the quota beside a stream of single tasks", "[quota]") {
  QuotaWorld world;
  world.run_time = milliseconds(600);
  for (int i = 1; i < 4; ++i) {
    world.SubmitAs("first", i, {Tasks(1)});
  }
  world.Run(milliseconds(200));
  StepSpec gang = Tasks(3);
  gang.gang = true;
  world.SubmitAs("first", 0, {gang});
  for (int i = 0; i < 60; ++i) {
    world.api_key = "first";
    world.Submit(world.Leader(), "00000000000010" + std::to_string(10 + i),
                 {Tasks(1)}, "/previews/");
    world.Run(milliseconds(150));
  }
  CHECK(world.Starts(WorkspaceId("first", 0)) > 0);
}

TEST_CASE("A gang that the quota can never hold is rejected", "[quota]") {
  QuotaWorld world;
  StepSpec gang = Tasks(4);
  gang.gang = true;
  const CallId large = world.SubmitAs("first", 0, {gang});
  const CallId unlimited = world.SubmitAs("other", 0, {gang});
  gang.count = 3;
  const CallId small = world.SubmitAs("first", 1, {gang});
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(large));
  CHECK(world.AnswerTo(large)->kind == ErrorKind::kNotSupported);
  CHECK(world.AnswerTo(large)->unsupported ==
        UnsupportedFeature::kGangBeyondQuota);
  CHECK(world.AnswerTo(unlimited)->kind == ErrorKind::kNone);
  CHECK(world.AnswerTo(small)->kind == ErrorKind::kNone);
}

}  // namespace
}  // namespace basilspread::test
