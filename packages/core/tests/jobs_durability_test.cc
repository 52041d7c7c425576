#include <catch2/catch.hpp>

#include "job_fixture.h"

namespace test {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

TEST_CASE("A job is accepted once its record has been read back",
          "[jobs][durability]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();

  SECTION("the same id with the same content is the same job") {
    const JobSpec spec = JobFixture::Spec("plan", 2, 1);
    CHECK(fixture.SubmitAndWait(spec).kind == ErrorKind::kNone);
    CHECK(fixture.SubmitAndWait(spec).kind == ErrorKind::kNone);
    CHECK(fixture.RunUntilState("plan", JobState::kRunning, 5s));
    CHECK(fixture.Starts("plan/0") == 1);
  }

  SECTION("the same id with different content is refused") {
    fixture.SubmitAndWait(JobFixture::Spec("plan", 2, 1));
    const JobAnswer other =
        fixture.SubmitAndWait(JobFixture::Spec("plan", 3, 1));
    CHECK(other.kind == ErrorKind::kConflict);
  }

  SECTION("during an outage of the log it is refused at once") {
    fixture.cluster.log_up = false;
    fixture.cluster.RunFor(5s);
    const TimePoint asked = fixture.cluster.now;
    const JobAnswer answer =
        fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
    CHECK(answer.kind == ErrorKind::kLogUnavailable);
    CHECK(fixture.cluster.now - asked < 10ms);
  }

  SECTION(
      "if the log fails before the record is read back, the outcome is "
      "unknown") {
    const CallId call = fixture.Submit(JobFixture::Spec("plan", 1, 1));
    fixture.cluster.log_up = false;
    fixture.cluster.RunFor(10s);
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers.at(call).kind == ErrorKind::kOutcomeUnknown);
    CHECK(fixture.Starts("plan/0") == 0);
    // A repetition with the same id gets the outcome.
    fixture.cluster.log_up = true;
    fixture.cluster.RunFor(5s);
    CHECK(fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1)).kind ==
          ErrorKind::kNone);
  }
}

TEST_CASE("No task starts before its intent record has been read back",
          "[jobs][durability]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("large", 1, 4));
  REQUIRE(fixture.RunUntilState("large", JobState::kRunning, 5s));
  fixture.SubmitAndWait(JobFixture::Spec("next", 1, 4));

  fixture.Finish("large/0", TaskCondition::kSucceeded);
  fixture.cluster.log_up = false;
  fixture.cluster.RunFor(10s);
  CHECK(fixture.Starts("next/0") == 0);
  fixture.cluster.log_up = true;
  CHECK(fixture.RunUntilState("next", JobState::kRunning, 10s));
  CHECK(fixture.Starts("next/0") == 1);
}

TEST_CASE("An intent record after a claim of a higher epoch is ignored",
          "[jobs][durability]") {
  JobFixture fixture(2, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  const std::size_t old_owner = *fixture.cluster.OwnerOf("workers#0");
  fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
  const ProcessId writer = fixture.cluster.StateOf(old_owner).settings.self;
  const Epoch old_epoch = fixture.cluster.StateOf(old_owner)
                              .ownership.shards.at(ShardId{"workers#0"})
                              .epoch;
  fixture.cluster.Kill(old_owner);
  REQUIRE(fixture.cluster.RunUntil(
      [&] { return fixture.cluster.OwnerOf("workers#0").has_value(); }, 30s));

  // The former owner's append arrives after the claim.
  IntentRecord intent;
  intent.shard = ShardId{"workers#0"};
  intent.epoch = old_epoch;
  intent.home = intent.shard;
  intent.place = intent.shard;
  intent.start.name = TaskAttempt{TaskId{"plan/0"}, Attempt{9}};
  intent.start.worker = HostName{"worker-1"};
  LogBatch batch;
  batch.writer = writer;
  batch.id = AppendId{1000000};
  batch.records.emplace_back(intent);
  fixture.cluster.AppendAs(ShardId{"workers#0"}, batch);
  fixture.cluster.RunFor(20s);
  CHECK_FALSE(fixture.Worker("worker-1").runs.contains(intent.start.name));
}

TEST_CASE("Many cancels share a batch and a call per worker",
          "[jobs][durability]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 40);
  fixture.cluster.Start();
  for (int i = 0; i < 60; ++i) {
    fixture.Submit(JobFixture::Spec("plan-" + std::to_string(i), 1, 1));
  }
  fixture.cluster.RunFor(5s);
  const std::size_t batches =
      fixture.cluster.BatchesOf("shard-workers#0").size();
  const int calls = fixture.Worker("worker-1").calls;

  for (int i = 0; i < 60; ++i) {
    fixture.Ask(JobOperation::kCancel, "plan-" + std::to_string(i));
  }
  fixture.cluster.RunFor(900ms);
  // One batch for the cancels and one for the outcomes; one call with the stops
  // in addition to the regular ones.
  CHECK(fixture.cluster.BatchesOf("shard-workers#0").size() - batches <= 2);
  CHECK(fixture.Worker("worker-1").calls - calls <= 3);
  CHECK(fixture.StatusOf("plan-3").state == JobState::kCancelled);
  CHECK(fixture.StatusOf("plan-59").state == JobState::kCancelled);
}

}  // namespace
}  // namespace test
