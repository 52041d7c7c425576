#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "support/store_world.h"

// A worker may start again under its name, and the leader learns of it only
// from a later answer or from the store. Numbers that it got from the earlier
// incarnation must do no harm to the new one until then.

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kEarlier = "00000000000000f1";
const std::string kLater = "00000000000000f2";

struct World : StoreWorld {
  World() : StoreWorld(2, {"w1"}) { REQUIRE(this->Leader() >= 0); }

  const FleetWorker& Known() const {
    return this->StateOf(this->Leader())
        .submissions.fleet.workers.at(HostName{"w1"});
  }

  /// Runs three tasks whose ends are stored.
  void RunThreeTasks() {
    this->Submit(0, kEarlier, {Tasks(3)});
    while (this->Known().stored_end < 3) {
      this->Run(milliseconds(1));
    }
  }

  /// Runs until the worker has started the later task.
  void StartLaterTask() {
    this->Submit(0, kLater, {Tasks(1)});
    while (this->Starts(kLater) == 0) {
      this->Run(milliseconds(1));
    }
  }

  /// Checks that the later task ran once.
  void CheckLaterTask() {
    this->Run(seconds(10));
    CHECK(this->StatusOf(this->Leader(), kLater) ==
          SubmissionState::kCompleted);
    CHECK(this->Starts(kLater) == 1);
    CHECK(this->violations.empty());
  }
};

// The poll after the start was lost, so that the next one was the first that
// the new incarnation got. It acknowledged ends of the earlier one, and the
// worker discarded the end of a task that had succeeded.
TEST_CASE("A task that ended on a restarted worker is not started again",
          "[fleet][restart]") {
  World world;
  world.RunThreeTasks();
  world.Run(seconds(2));
  REQUIRE(world.Known().acknowledged_end == 3);
  world.RestartWorkerUnlisted("w1");
  world.Worker("w1").lost_polls = 1;
  world.StartLaterTask();
  world.CheckLaterTask();
}

TEST_CASE("A late acknowledgement discards no end of a restarted worker",
          "[fleet][restart]") {
  World world;
  world.RunThreeTasks();
  // The poll that acknowledges the ends is carried out after the restart.
  world.Worker("w1").late_polls = 1;
  world.Run(milliseconds(1500));
  REQUIRE(world.Worker("w1").late_polls == 0);
  REQUIRE(world.Known().is_reconciled);
  world.RestartWorkerUnlisted("w1");
  world.Worker("w1").lost_polls = 20;
  world.StartLaterTask();
  world.Run(seconds(1));
  world.Worker("w1").lost_polls = 0;
  world.CheckLaterTask();
}

// The new incarnation shortened the lease to the longest from when it carried
// the poll out, seconds after the leader had sent it.
TEST_CASE("A late poll renews no lease of a restarted worker",
          "[fleet][restart]") {
  World world;
  world.RunThreeTasks();
  world.Run(seconds(2));
  world.run_time = seconds(20);
  world.RestartWorkerUnlisted("w1");
  world.late_poll_delay = seconds(5);
  world.Worker("w1").late_polls = 1;
  world.StartLaterTask();
  world.Worker("w1").lost_polls = 1000;
  world.AddWorker("w2");
  world.Relist("w2");
  world.Run(seconds(15));
  CHECK(world.Worker("w2").runs.size() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A leader that has used up its fences takes over anew",
          "[fleet][restart]") {
  World world;
  world.RunThreeTasks();
  const Epoch before =
      world.StateOf(world.Leader()).submissions.leadership.epoch;
  world.UseUpFences("w1");
  world.StartLaterTask();
  world.CheckLaterTask();
  CHECK(world.StateOf(world.Leader()).submissions.leadership.epoch > before);
}

TEST_CASE("Ends are acknowledged while runs are started on a worker",
          "[fleet][restart]") {
  World world;
  world.Submit(0, kEarlier, {Tasks(60)});
  world.Run(seconds(2));
  REQUIRE(world.Known().seen_end > 20);
  REQUIRE(!world.Known().runs.empty());
  // At most the ends of the last round of runs.
  CHECK(world.Worker("w1").acknowledged + 8 >= world.Known().seen_end);
}

/// Two workers of two kinds, each with a long run, and the first starts again
/// as another kind while the store keeps its former entry.
struct KindsWorld : StoreWorld {
  KindsWorld() : StoreWorld(3, {"w1", "w2"}) {
    REQUIRE(this->Leader() >= 0);
    this->Worker("w1").entry.labels = {"a"};
    this->Worker("w2").entry.labels = {"b"};
    this->Relist("w1");
    this->Relist("w2");
    this->run_time = seconds(60);
    this->SubmitFor("a", kEarlier, 1);
    this->Run(milliseconds(500));
    this->run_time = milliseconds(200);
    this->RestartWorkerUnlisted("w1");
  }

  void SubmitFor(const std::string& label, const std::string& id,
                 std::uint32_t tasks) {
    StepSpec step = Tasks(tasks);
    step.required_label = label;
    this->Submit(0, id, {step});
  }

  /// Runs until the leader knows that the worker has restarted.
  void AwaitAnswer() { this->Run(seconds(3)); }
};

// The labels of the entry that the leader had read were those of the earlier
// incarnation, and it started tasks that the worker could not run.
TEST_CASE("A restarted worker gets no task by what it offered before",
          "[fleet][restart]") {
  KindsWorld world;
  world.Worker("w1").entry.labels = {"b"};
  world.AwaitAnswer();
  SECTION("under the same leader") {}
  SECTION("after a takeover") {
    world.Kill(world.Leader());
    world.Run(seconds(3));
    REQUIRE(world.Leader() >= 0);
  }
  SECTION("though the former entry is read again") {
    FleetRead read;
    read.ok = true;
    read.entries = {*world.Worker("w1").stored_entry};
    read.epoch = world.StateOf(world.Leader()).submissions.leadership.epoch;
    world.Inject(world.Leader(), read);
  }
  world.SubmitFor("a", kLater, 2);
  world.Run(seconds(2));
  CHECK(world.Starts(kLater) == 0);
  CHECK(world.violations.empty());
}

TEST_CASE("A restarted worker gets tasks again once its entry is read",
          "[fleet][restart]") {
  KindsWorld world;
  world.Worker("w1").entry.labels = {"c"};
  world.Worker("w1").entry.capacity = {2000, 4096, 0};
  world.AwaitAnswer();
  world.SubmitFor("c", kLater, 3);
  world.Run(seconds(1));
  CHECK(world.Starts(kLater) == 0);
  world.Relist("w1");
  world.Run(seconds(1));
  CHECK(world.StatusOf(world.Leader(), kLater) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("A restarted worker with less room is not filled beyond it",
          "[fleet][restart]") {
  KindsWorld world;
  world.Worker("w1").entry.capacity = {1000, 256, 0};
  world.AwaitAnswer();
  world.run_time = seconds(60);
  world.SubmitFor("a", kLater, 4);
  world.Run(seconds(2));
  CHECK(world.violations.empty());
  world.Relist("w1");
  world.Run(seconds(2));
  CHECK(world.Worker("w1").runs.size() == 1);
  CHECK(world.violations.empty());
}

// The clock of its host was set back before the restart.
TEST_CASE("A restarted worker with a lower number is used again",
          "[fleet][restart]") {
  KindsWorld world;
  const bool is_answer_first = GENERATE(true, false);
  world.RestartWorker("w2");
  world.Run(seconds(2));
  world.Worker("w2").runs.clear();
  world.Worker("w2").fence = 0;
  world.Worker("w2").entry.incarnation = 1;
  if (is_answer_first) {
    world.Run(seconds(2));
  }
  world.Relist("w2");
  world.Run(seconds(2));
  world.SubmitFor("b", kLater, 1);
  world.Run(seconds(2));
  CHECK(world.StatusOf(world.Leader(), kLater) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace basilspread::test
