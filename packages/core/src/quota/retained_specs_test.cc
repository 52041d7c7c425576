#include "quota/retained_specs.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/quota_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCancelled = 0;
constexpr int kWaiting = 1;
constexpr const char* kWorkers[] = {"w1", "w2", "w3", "w4"};

/// A submission uses the whole quota of three tasks, and another one waits.
struct World : QuotaWorld {
  World() {
    this->run_time = seconds(60);
    this->SubmitAs("first", kCancelled, {Tasks(3)});
    this->SubmitAs("first", kWaiting, {Tasks(3)});
    this->Run(milliseconds(300));
    REQUIRE(this->Running("first") == 3);
    this->SetStops(false);
  }

  /// Whether workers carry out stops. Else, runs go on for the time that a stop
  /// may take.
  void SetStops(bool are_carried_out) {
    for (const char* name : kWorkers) {
      this->Worker(name).ignores_stops = !are_carried_out;
    }
  }

  void CancelFirst() {
    const CallId call =
        this->SendCall(this->Leader(), SubmissionOperation::kCancel,
                       WorkspaceId("first", kCancelled));
    this->Run(milliseconds(100));
    REQUIRE(this->AnswerTo(call));
    REQUIRE(this->AnswerTo(call)->kind == ErrorKind::kNone);
  }

  std::size_t Retained() {
    return this->StateOf(this->Leader())
        .submissions.quota.retained_specs.size();
  }

  /// The waiting submission starts once the runs have ended, and the log keeps
  /// nothing for them.
  void CheckGoesOn() {
    this->SetStops(true);
    this->Run(seconds(14));
    CHECK(this->Running("first") == 3);
    CHECK(this->Starts(WorkspaceId("first", kWaiting)) == 1);
    CHECK(this->Retained() == 0);
    CHECK(this->violations.empty());
  }
};

// Guards against a next leader that starts other work of a workspace while runs
// of a cancelled submission, which use its quota, are still being stopped.
TEST_CASE("Runs that are being stopped count for the quota after a takeover",
          "[quota]") {
  World world;
  world.CancelFirst();
  CHECK(world.Retained() == 1);
  SECTION("the leader is killed") {
    world.KillProcess(world.Leader());
    CHECK(world.MostRunning(seconds(2)) == 3);
  }
  SECTION("the leader stops") {
    world.Stop(world.Leader());
    CHECK(world.MostRunning(seconds(2)) == 3);
  }
  SECTION("two leaders in a row are killed") {
    world.KillProcess(world.Leader());
    CHECK(world.MostRunning(seconds(1)) == 3);
    world.KillProcess(world.Leader());
    CHECK(world.MostRunning(seconds(1)) == 3);
  }
  SECTION("the workers answer the next leader late") {
    for (const char* name : kWorkers) {
      world.Worker(name).is_silent = !world.Worker(name).runs.empty();
    }
    world.KillProcess(world.Leader());
    CHECK(world.MostRunning(seconds(1)) == 3);
    for (const char* name : kWorkers) {
      world.Worker(name).is_silent = false;
    }
    CHECK(world.MostRunning(seconds(1)) == 3);
  }
  SECTION("the workers are closed and then answer late") {
    for (const char* name : kWorkers) {
      world.Worker(name).is_silent = !world.Worker(name).runs.empty();
    }
    CHECK(world.MostRunning(seconds(3)) == 3);
    world.KillProcess(world.Leader());
    CHECK(world.MostRunning(milliseconds(1500)) == 3);
    for (const char* name : kWorkers) {
      world.Worker(name).is_silent = false;
    }
    CHECK(world.MostRunning(milliseconds(500)) == 3);
  }
  world.CheckGoesOn();
}

// Guards against a specification that stays in the work log after the last run
// of its submission.
TEST_CASE("The log drops the specification once no run is left", "[quota]") {
  World world;
  world.CancelFirst();
  CHECK(world.Retained() == 1);
  world.CheckGoesOn();
}

// Guards against starts beside runs of which the log no longer tells to which
// workspace they belong, as an earlier version left it.
TEST_CASE("Runs of unknown submissions count for any quota", "[quota]") {
  World world;
  world.CancelFirst();
  world.AddLogRecord(
      SpecDroppedRecord{SubmissionId{WorkspaceId("first", kCancelled)}});
  world.KillProcess(world.Leader());
  CHECK(world.MostRunning(seconds(1)) == 3);
  world.SubmitAs("other", 0, {Tasks(2)});
  CHECK(world.MostRunning(seconds(1)) == 3);
  CHECK(world.Running("other") == 2);
  world.CheckGoesOn();
}

}  // namespace
}  // namespace basilspread::test
