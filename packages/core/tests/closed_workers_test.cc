#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "support/store_world.h"

// A worker that does not answer holds up a takeover: any inherited task may run
// there until the leases have lapsed. The log's record of what a closed worker
// runs limits this to the tasks that it names.

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kRunning = "00000000000000d1";
const std::string kWaiting = "00000000000000d2";
/// Takeover by another process, and the starts after it.
constexpr Duration kTakeoverBound = seconds(2);

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2", "w3"}) { REQUIRE(this->Leader() >= 0); }

  /// Occupies all workers, and queues four tasks behind.
  void Fill() {
    this->run_time = seconds(30);
    this->Submit(0, kRunning, {Tasks(12)});
    this->Run(milliseconds(500));
    this->Submit(0, kWaiting, {Tasks(4)});
    this->Run(milliseconds(500));
    REQUIRE(this->StartsOf(kRunning, 12) == 12);
    REQUIRE(this->StartsOf(kWaiting, 4) == 0);
  }

  int StartsOf(const std::string& id, std::uint32_t tasks) const {
    int sum = 0;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      sum += this->Starts(id, 0, i);
    }
    return sum;
  }

  /// Frees the worker's capacity.
  void FinishRunsOn(const std::string& name) {
    for (auto& [task, run] : this->Worker(name).runs) {
      run.ends_at = this->Now();
    }
  }
};

TEST_CASE(
    "A worker that was silent before a takeover holds up only what it "
    "runs",
    "[fleet][takeover][closed]") {
  World world;
  world.Fill();
  world.Worker("w1").is_silent = true;
  // The poll of the silent worker times out, and the record is stored.
  world.Run(milliseconds(2500));
  world.Kill(world.Leader());
  world.FinishRunsOn("w2");
  world.Run(kTakeoverBound);
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StartsOf(kWaiting, 4) == 4);
  // The tasks on the silent worker restart only once its leases have lapsed.
  CHECK(world.StartsOf(kRunning, 12) == 12);
  world.FinishRunsOn("w3");
  world.run_time = milliseconds(200);
  world.Run(seconds(10));
  CHECK(world.StartsOf(kRunning, 12) > 12);
  CHECK(world.StatusOf(world.Leader(), kRunning) ==
        SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("The tasks of a silent worker go on if it answers after a takeover",
          "[fleet][takeover][closed]") {
  World world;
  world.Fill();
  world.Worker("w1").is_silent = true;
  world.Run(milliseconds(2500));
  world.Kill(world.Leader());
  world.Run(milliseconds(1500));
  world.Worker("w1").is_silent = false;
  world.Run(seconds(10));
  CHECK(world.StartsOf(kRunning, 12) == 12);
  CHECK(world.Worker("w1").runs.size() == 4);
  CHECK(world.violations.empty());
}

TEST_CASE(
    "What is started on a worker that answers again is looked for at the "
    "next takeover",
    "[fleet][takeover][closed]") {
  World world;
  world.Fill();
  world.Worker("w1").is_silent = true;
  world.Run(milliseconds(2500));
  world.Worker("w1").is_silent = false;
  world.FinishRunsOn("w1");
  while (world.StartsOf(kWaiting, 4) < 4) {
    world.Run(milliseconds(5));
  }
  const auto delay = GENERATE(0, 5, 20, 100, 1000);
  world.Run(milliseconds(delay));
  world.Kill(world.Leader());
  world.Worker("w1").is_silent = true;
  world.FinishRunsOn("w2");
  world.FinishRunsOn("w3");
  world.Run(seconds(4));
  // The new tasks may run on the silent worker, until their leases lapse.
  CHECK(world.StartsOf(kWaiting, 4) == 4);
  world.Run(seconds(10));
  CHECK(world.violations.empty());
}

TEST_CASE("A worker that drained and left does not hold up a takeover",
          "[fleet][takeover][closed]") {
  World world;
  world.Fill();
  world.FinishRunsOn("w1");
  world.DrainWorker("w1");
  world.Run(seconds(1));
  REQUIRE(world.Worker("w1").runs.empty());
  // It leaves while no process leads; the store still lists it.
  world.Kill(world.Leader());
  world.Worker("w1").is_silent = true;
  world.FinishRunsOn("w2");
  world.Run(kTakeoverBound);
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StartsOf(kWaiting, 4) == 4);
  CHECK(world.violations.empty());
}

TEST_CASE(
    "A run that a worker lists supersedes an older one that the log names",
    "[fleet][takeover][closed]") {
  World world;
  world.run_time = seconds(30);
  world.Submit(0, kRunning, {Tasks(1)});
  world.Run(milliseconds(500));
  world.Worker("w1").is_silent = true;
  world.Worker("w2").is_silent = true;
  world.Worker("w3").is_silent = true;
  world.Run(milliseconds(500));
  world.Kill(world.Leader());
  // Run 1 was on w1 until its leases lapsed, and run 2 is on another worker.
  std::string other;
  for (const char* name : {"w1", "w2", "w3"}) {
    if (!world.Worker(name).runs.empty()) {
      other = name;
    }
  }
  REQUIRE_FALSE(other.empty());
  auto& run = world.Worker(other).runs.begin()->second;
  run.run = Attempt{2};
  const std::string former = other == "w1" ? "w2" : "w1";
  WorkerRecord record{HostName{former}, "127.0.0.1:1", 1};
  record.is_closed = true;
  record.runs = {{{SubmissionId{kRunning}, 0, 0}, Attempt{1}}};
  world.AddLogRecord(record);
  for (const char* name : {"w1", "w2", "w3"}) {
    world.Worker(name).is_silent = name == former;
  }
  world.Run(seconds(12));
  CHECK(world.Worker(other).runs.size() == 1);
  CHECK(world.Starts(kRunning) == 1);
  CHECK(world.violations.empty());
}

/// Has the store drop the worker's entry.
void Unlist(StoreWorld& world, const std::string& name) {
  world.Worker(name).is_unlisted = true;
  FleetRead read;
  read.ok = true;
  read.removed = {HostName{name}};
  read.epoch = world.StateOf(world.Leader()).submissions.leadership.epoch;
  world.Inject(world.Leader(), read);
  world.Run(milliseconds(500));
}

/// A worker with room for any number of tasks, beside a small one.
struct LargeWorkerWorld : StoreWorld {
  LargeWorkerWorld() : StoreWorld(3, {"w1", "w2"}, RelayMode::kOff) {
    REQUIRE(this->Leader() >= 0);
    this->Worker("w1").entry.capacity = {100'000'000, 100'000'000, 0};
    this->Relist("w1");
    this->run_time = seconds(60);
  }

  void SubmitTasks(std::uint32_t count) {
    constexpr std::uint32_t kTasks = 1600;
    for (std::uint32_t i = 0; i < count; i += kTasks) {
      const std::uint32_t tasks = std::min(kTasks, count - i);
      this->ids.emplace_back("000000000000d" + std::to_string(100 + i / kTasks),
                             tasks);
      this->Submit(0, this->ids.back().first, {Tasks(tasks)}, "/previews/");
      this->Run(seconds(1));
    }
    REQUIRE(this->CountStarts() == static_cast<int>(count));
  }

  int CountStarts() const {
    int sum = 0;
    for (const auto& [id, tasks] : this->ids) {
      for (std::uint32_t i = 0; i < tasks; ++i) {
        sum += this->Starts(id, 0, i);
      }
    }
    return sum;
  }

  /// Names and numbers of tasks of the submissions.
  std::vector<std::pair<std::string, std::uint32_t>> ids;
};

// The leader wrote a record that its readers rejected, so that the next one did
// not know of the worker and started everything that ran there.
TEST_CASE("Tasks of a closed worker run once however many there are",
          "[fleet][takeover][closed]") {
  LargeWorkerWorld world;
  const auto count = GENERATE(4092U, 4096U, 4101U, 6500U);
  INFO(count);
  world.SubmitTasks(count);
  Unlist(world, "w1");
  // Room for tasks that would be started again.
  world.AddWorker("w3");
  world.Relist("w3");
  world.Kill(world.Leader());
  world.Run(seconds(4));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.CountStarts() == static_cast<int>(count));
  CHECK(world.violations.empty());
}

// The store rejected the record, and with it all others, again and again.
TEST_CASE("A closed worker with many runs does not keep others from the log",
          "[fleet][closed]") {
  LargeWorkerWorld world;
  world.SubmitTasks(6500);
  Unlist(world, "w1");
  const CallId call = world.Submit(0, kWaiting, {Tasks(1)}, "/previews/");
  world.Run(seconds(1));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
}

TEST_CASE("A worker whose record cannot be read may run anything",
          "[fleet][takeover][closed]") {
  World world;
  world.Fill();
  world.Worker("w1").is_silent = true;
  world.Worker("w1").is_unlisted = true;
  world.unreadable_keys = {"w/w1"};
  world.Kill(world.Leader());
  world.FinishRunsOn("w2");
  world.Run(kTakeoverBound);
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StartsOf(kRunning, 12) == 12);
  SECTION("until its leases have lapsed") {
    world.run_time = milliseconds(200);
    world.Run(seconds(60));
    CHECK(world.StatusOf(world.Leader(), kWaiting) ==
          SubmissionState::kCompleted);
  }
  SECTION("until it answers") {
    world.Worker("w1").is_silent = false;
    world.Relist("w1");
    world.Run(seconds(2));
    CHECK(world.StartsOf(kRunning, 12) == 12);
    CHECK(world.StartsOf(kWaiting, 4) == 4);
  }
  CHECK(world.violations.empty());
}

TEST_CASE("A leader whose record cannot be read may still lead",
          "[takeover][closed]") {
  World world;
  world.Fill();
  const NodeName former = world.StateOf(world.Leader()).settings.self.node;
  world.unreadable_keys = {"l/" + former.value};
  world.Kill(world.Leader());
  world.Run(kTakeoverBound);
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StateOf(world.Leader())
            .submissions.leadership.predecessors.contains(former));
}

TEST_CASE("Nothing of a submission starts whose progress cannot be read",
          "[takeover][closed]") {
  World world;
  StepSpec second = Tasks(2);
  second.after = {0};
  second.demand.cpu_millicores = 100'000;
  // The second step fits no worker, so that the submission stays unfinished.
  world.Submit(0, kRunning, {Tasks(2), second});
  world.Run(seconds(2));
  REQUIRE(world.StartsOf(kRunning, 2) == 2);
  world.unreadable_keys = {"p/" + kRunning};
  world.Kill(world.Leader());
  world.Run(seconds(12));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StartsOf(kRunning, 2) == 2);
  // It stays known.
  CHECK(world.StatusOf(world.Leader(), kRunning));
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace basilspread::test
