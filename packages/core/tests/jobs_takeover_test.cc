#include <algorithm>
#include <catch2/catch.hpp>

#include "job_fixture.h"

namespace test {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

TEST_CASE("A new owner adopts running tasks that have an intent record",
          "[jobs][takeover]") {
  JobFixture fixture(2, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  const std::size_t owner = *fixture.cluster.OwnerOf("workers#0");
  const std::size_t other = 1 - owner;
  fixture.SubmitAndWait(JobFixture::Spec("plan", 2, 1));
  REQUIRE(fixture.RunUntilState("plan", JobState::kRunning, 5s));

  SECTION("and they finish on their worker") {
    fixture.cluster.Kill(owner);
    fixture.cluster.RunFor(12s);
    CHECK(fixture.Running("plan/0") == 1);
    fixture.Finish("plan/0", TaskCondition::kSucceeded);
    fixture.Finish("plan/1", TaskCondition::kSucceeded);
    fixture.cluster.RunFor(5s);
    CHECK(fixture.StatusOf("plan", other).state == JobState::kFinished);
    CHECK(fixture.Starts("plan/0") == 1);
  }

  SECTION("and stops tasks without an intent record before it places others") {
    TaskStart stray;
    stray.name = TaskAttempt{TaskId{"stray/0"}, Attempt{1}};
    stray.reserved = Resources{4000, 4096, 0};
    VirtualRun& run = fixture.Worker("worker-1").runs[stray.name];
    run.start = stray;
    run.lease_until = fixture.cluster.now + 1h;
    fixture.Submit(JobFixture::Spec("next", 2, 1), other);
    fixture.cluster.Kill(owner);
    fixture.cluster.RunFor(15s);
    CHECK(run.condition == TaskCondition::kStopped);
    CHECK(fixture.overcommits == 0);
  }

  SECTION("and repeats a start whose answer was lost") {
    fixture.Worker("worker-1").is_frozen = true;
    fixture.SubmitAndWait(JobFixture::Spec("next", 1, 1));
    fixture.cluster.RunFor(500ms);
    fixture.cluster.Kill(owner);
    fixture.cluster.RunFor(5s);
    fixture.Worker("worker-1").is_frozen = false;
    fixture.cluster.RunFor(10s);
    CHECK(fixture.Starts("next/0") == 1);
    CHECK(fixture.Running("next/0") == 1);
  }
}

TEST_CASE("A task moves only after its lease on the old worker has lapsed",
          "[jobs][takeover]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
  REQUIRE(fixture.RunUntilState("plan", JobState::kRunning, 5s));
  fixture.AddWorker("worker-2", 4);
  fixture.cluster.RunFor(3s);

  fixture.Worker("worker-1").is_frozen = true;
  int most_running = 0;
  const bool has_moved = fixture.cluster.RunUntil(
      [&fixture, &most_running] {
        most_running = std::max(most_running, fixture.Running("plan/0"));
        return fixture.Starts("plan/0") == 2;
      },
      60s);
  CHECK(has_moved);
  CHECK(most_running == 1);
  CHECK(fixture.Running("plan/0") == 1);
  fixture.Worker("worker-1").is_frozen = false;
  fixture.cluster.RunFor(5s);
  CHECK(fixture.Running("plan/0") == 1);
}

TEST_CASE("A task that may still run on a silent worker waits with that reason",
          "[jobs][takeover]") {
  JobFixture fixture(2, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  const std::size_t owner = *fixture.cluster.OwnerOf("workers#0");
  fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
  REQUIRE(fixture.RunUntilState("plan", JobState::kRunning, 5s));
  fixture.Worker("worker-1").is_frozen = true;
  fixture.cluster.Kill(owner);
  fixture.cluster.RunFor(12s);
  CHECK(fixture.StatusOf("plan", 1 - owner).reason ==
        "may still run on worker-1");
}

TEST_CASE("Leases are renewed during an outage of the log",
          "[jobs][takeover]") {
  JobFixture fixture(2, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
  REQUIRE(fixture.RunUntilState("plan", JobState::kRunning, 5s));
  fixture.cluster.log_up = false;
  fixture.cluster.RunFor(120s);
  CHECK(fixture.Running("plan/0") == 1);
}

}  // namespace
}  // namespace test
