#include "quota/waiting_gangs.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/quota_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWork = 0;
constexpr int kGang = 1;
constexpr int kLater = 2;

StepSpec Gang(std::uint32_t count) {
  StepSpec gang = Tasks(count);
  gang.gang = true;
  return gang;
}

StepSpec LongRunning(std::uint32_t count) {
  StepSpec step = Tasks(count);
  step.long_running = true;
  return step;
}

// Guards against a gang that was accepted under a higher quota and holds back
// all later work of its workspace for ever.
TEST_CASE("A gang beyond a lowered quota does not hold back later work",
          "[quota][gang]") {
  QuotaWorld world;
  world.run_time = seconds(1);
  world.SubmitAs("first", kWork, {Tasks(2)});
  world.Run(milliseconds(200));
  world.SubmitAs("first", kGang, {Gang(3)});
  world.Run(milliseconds(200));
  world.PublishWorkspaces(MakeQuotaTable(2));
  world.Run(seconds(6));
  world.SubmitAs("first", kLater, {Tasks(2)});
  world.Run(seconds(3));
  CHECK(world.StateAs("first", kLater) == SubmissionState::kCompleted);
  CHECK(world.StateAs("first", kGang) == SubmissionState::kQueued);
  CHECK(world.Starts(WorkspaceId("first", kGang)) == 0);
  SECTION("the gang starts once the quota can hold it") {
    world.PublishWorkspaces(MakeQuotaTable(3));
    world.Run(seconds(3));
    CHECK(world.StateAs("first", kGang) == SubmissionState::kCompleted);
  }
  SECTION("the gang goes first once the quota can hold it") {
    world.run_time_of = [](const RunName& run, const HostName& /*worker*/) {
      return run.task.submission.value == WorkspaceId("first", kLater + 1)
                 ? seconds(3)
                 : seconds(1);
    };
    world.SubmitAs("first", kLater + 1, {Tasks(1)});
    world.Run(milliseconds(200));
    world.PublishWorkspaces(MakeQuotaTable(3));
    world.Run(milliseconds(200));
    for (int i = kLater + 2; i < kLater + 7; ++i) {
      world.SubmitAs("first", i, {Tasks(1)});
      world.Run(milliseconds(500));
    }
    world.Run(milliseconds(1500));
    CHECK(world.Starts(WorkspaceId("first", kGang)) == 1);
  }
}

// Guards against a gang that holds back later work while it waits for what
// long-running tasks of its workspace keep.
TEST_CASE("A gang does not hold back later work for long-running tasks",
          "[quota][gang]") {
  QuotaWorld world;
  world.run_time = seconds(1);
  world.SubmitAs("first", kWork, {LongRunning(1)});
  world.Run(seconds(2));
  world.SubmitAs("first", kGang, {Gang(3)});
  world.Run(seconds(6));
  world.SubmitAs("first", kLater, {Tasks(2)});
  world.Run(seconds(3));
  CHECK(world.StateAs("first", kLater) == SubmissionState::kCompleted);
  CHECK(world.Starts(WorkspaceId("first", kGang)) == 0);
  world.SendCall(world.Leader(), SubmissionOperation::kCancel,
                 WorkspaceId("first", kWork));
  world.Run(seconds(4));
  CHECK(world.StateAs("first", kGang) == SubmissionState::kCompleted);
}

// Guards against a gang that holds back later work until its quota is free,
// though the pool has too few workers for it.
TEST_CASE("A gang wider than its pool does not hold back later work",
          "[quota][gang]") {
  QuotaWorld world;
  world.run_time = seconds(60);
  world.PublishWorkspaces(MakeQuotaTable(20));
  world.SubmitAs("first", kWork, {Tasks(1)});
  world.Run(milliseconds(200));
  world.SubmitAs("first", kGang, {Gang(20)});
  world.Run(seconds(6));
  world.SubmitAs("first", kLater, {Tasks(2)});
  world.Run(milliseconds(500));
  CHECK(world.Running("first") == 3);
}

// Guards against a gang that keeps workers free for members which have no room
// beside long-running tasks.
TEST_CASE("A gang claims no workers that long-running tasks keep from it",
          "[gang]") {
  StoreWorld world(3, {"w1", "w2"}, RelayMode::kOff);
  world.run_time = seconds(1);
  world.Submit(0, "0000000000000001", {LongRunning(2)});
  world.Run(seconds(2));
  REQUIRE(world.AtWork("0000000000000001") == 2);
  world.Submit(0, "0000000000000002", {Gang(8)});
  world.Run(seconds(2));
  world.Submit(0, "0000000000000003", {Tasks(4)});
  world.Run(milliseconds(500));
  CHECK(world.Starts("0000000000000003") == 1);
  CHECK(world.Starts("0000000000000002") == 0);
}

// Guards against workers that stay claimed for a gang which no longer fits the
// quota.
TEST_CASE("A gang beyond a lowered quota gives up its claims",
          "[quota][gang]") {
  QuotaWorld world;
  world.PublishWorkspaces(MakeQuotaTable(12));
  world.run_time = seconds(60);
  world.SubmitAs("other", kWork, {Tasks(8)});
  world.Run(milliseconds(200));
  world.api_key = "first";
  world.Submit(world.Leader(), WorkspaceId("first", kGang), {Gang(12)});
  world.Run(seconds(2));
  const auto& claims = world.StateOf(world.Leader()).submissions.claims;
  REQUIRE(claims.size() == 1);
  world.PublishWorkspaces(MakeQuotaTable(11));
  world.Run(milliseconds(100));
  CHECK(claims.empty());
}

// Load: gangs that the pool cannot hold wait, and usual work arrives. Guards
// against rejections of work for a queue that it does not wait for.
TEST_CASE("Gangs wider than their pool cause no rejections", "[quota][gang]") {
  QuotaWorld world;
  world.run_time = milliseconds(500);
  StepSpec wide = Gang(20);
  wide.expected_run_time = milliseconds(500);
  for (int i = 0; i < 9; ++i) {
    world.SubmitAs("other", i, {wide});
    world.Run(milliseconds(300));
  }
  world.api_key = "other";
  StepSpec usual = Tasks(16);
  usual.expected_run_time = milliseconds(500);
  // The last of them cannot start on time, and waits for late work as well.
  for (int i = 0; i < 5; ++i) {
    const CallId call =
        world.Submit(world.Leader(), "000000000000000" + std::to_string(i),
                     {usual}, "/previews/");
    world.Run(milliseconds(50));
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  }
}

}  // namespace
}  // namespace basilspread::test
