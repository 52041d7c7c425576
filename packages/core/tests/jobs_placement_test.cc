#include <algorithm>
#include <catch2/catch.hpp>

#include "job_fixture.h"

namespace test {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

TEST_CASE("A worker is never given more than its capacity",
          "[jobs][placement]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.AddWorker("worker-2", 3);
  fixture.cluster.Start();
  for (int i = 0; i < 10; ++i) {
    fixture.Submit(JobFixture::Spec("plan-" + std::to_string(i), 1, 2));
  }
  fixture.cluster.RunFor(5s);
  int running = 0;
  for (int i = 0; i < 10; ++i) {
    running += fixture.Running("plan-" + std::to_string(i) + "/0");
  }
  CHECK(running == 3);
  CHECK(fixture.overcommits == 0);
  CHECK(fixture.StatusOf("plan-9").reason ==
        "no worker of pool workers has room now");
}

TEST_CASE("A job that can never run is reported as such and blocks no other",
          "[jobs][placement]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();

  SECTION("at submission, by the hosts") {
    const JobAnswer answer =
        fixture.SubmitAndWait(JobFixture::Spec("large", 1, 5));
    CHECK(answer.kind == ErrorKind::kNeverFits);
    CHECK(answer.detail.find("cpu=5000m") != std::string::npos);
    fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 4));
    CHECK(fixture.RunUntilState("plan", JobState::kRunning, 5s));
  }

  SECTION("at submission, by the quota") {
    fixture.cluster.tables.quotas[TeamName{"braan"}] =
        Quota{TeamName{"braan"}, Resources{2000, 100000, 0}};
    JobFixture limited(1, 1);
    limited.cluster.tables = fixture.cluster.tables;
    limited.AddWorker("worker-1", 8);
    limited.cluster.Start();
    CHECK(limited.SubmitAndWait(JobFixture::Spec("large", 1, 3)).kind ==
          ErrorKind::kNeverFits);
    limited.SubmitAndWait(JobFixture::Spec("plan", 4, 1));
    limited.cluster.RunFor(5s);
    CHECK(limited.StatusOf("plan").running == 2);
    CHECK(limited.StatusOf("plan").reason ==
          "the quota of team braan is used up");
  }

  SECTION("when the hosts that could hold it are gone") {
    fixture.SubmitAndWait(JobFixture::Spec("first", 1, 4));
    fixture.SubmitAndWait(JobFixture::Spec("large", 1, 4));
    fixture.AddWorker("worker-2", 2);
    fixture.cluster.worker_hosts.at(HostName{"worker-1"}).leaving = true;
    fixture.cluster.RunFor(3s);
    CHECK(fixture.StatusOf("large").reason.starts_with("can never run: "));
    fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 2));
    CHECK(fixture.RunUntilState("plan", JobState::kRunning, 5s));
  }
}

TEST_CASE("An urgent job preempts a task of lower priority after a checkpoint",
          "[jobs][placement]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("low", 1, 4));
  REQUIRE(fixture.RunUntilState("low", JobState::kRunning, 5s));
  JobSpec urgent = JobFixture::Spec("urgent", 1, 2);
  urgent.priority = kUrgentPriority;
  fixture.SubmitAndWait(urgent);
  CHECK(fixture.RunUntilState("urgent", JobState::kRunning, 4900ms));
  CHECK(fixture.Running("low/0") == 0);
  fixture.Finish("urgent/0", TaskCondition::kSucceeded);
  CHECK(fixture.RunUntilState("low", JobState::kRunning, 10s));
  CHECK(fixture.overcommits == 0);
}

TEST_CASE(
    "A task that crashes is repeated with growing backoff, and then "
    "fails",
    "[jobs][placement]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("plan", 1, 1));
  for (int attempt = 1; attempt <= 3; ++attempt) {
    REQUIRE(fixture.cluster.RunUntil(
        [&] { return fixture.Running("plan/0") == 1; }, 10s));
    fixture.cluster.RunFor(1500ms);
    fixture.Finish("plan/0", TaskCondition::kFailed);
    fixture.cluster.RunFor(1200ms);
    // The first backoff is 1 s, the second 2 s.
    CHECK((fixture.Running("plan/0") == 0 || attempt == 1));
  }
  CHECK(fixture.RunUntilState("plan", JobState::kFailed, 5s));
  CHECK(fixture.Starts("plan/0") == 3);
}

TEST_CASE("A worker that fails every start is ejected, for growing times",
          "[jobs][placement]") {
  JobFixture fixture(1, 1);
  // The tightest fit of all, so that best fit chooses it for every task.
  fixture.AddWorker("worker-1", 1);
  fixture.AddWorker("worker-2", 4);
  fixture.AddWorker("worker-3", 4);
  fixture.Worker("worker-1").fails_starts = true;
  fixture.cluster.Start();
  for (int i = 0; i < 40; ++i) {
    JobSpec spec = JobFixture::Spec("plan-" + std::to_string(i), 1, 1);
    spec.max_attempts = 10;
    fixture.Submit(spec);
    fixture.cluster.RunFor(200ms);
    fixture.Finish("plan-" + std::to_string(i) + "/0",
                   TaskCondition::kSucceeded);
  }
  const std::size_t failed = fixture.Worker("worker-1").runs.size();
  CHECK(failed >= 1);
  CHECK(failed <= 6);
}

TEST_CASE("A leaving worker gets no tasks, and its services move",
          "[jobs][placement]") {
  JobFixture fixture(1, 1);
  fixture.AddWorker("worker-1", 4);
  fixture.cluster.Start();
  JobSpec service = JobFixture::Spec("service", 1, 1);
  service.service = true;
  fixture.SubmitAndWait(service);
  fixture.SubmitAndWait(JobFixture::Spec("batch", 1, 1));
  REQUIRE(fixture.RunUntilState("batch", JobState::kRunning, 5s));
  fixture.AddWorker("worker-2", 4);
  fixture.cluster.worker_hosts.at(HostName{"worker-1"}).leaving = true;
  fixture.cluster.RunFor(5s);

  CHECK(fixture.Starts("service/0") == 2);
  CHECK(fixture.Running("service/0") == 1);
  CHECK(fixture.Starts("batch/0") == 1);
  fixture.SubmitAndWait(JobFixture::Spec("next", 1, 1));
  REQUIRE(fixture.RunUntilState("next", JobState::kRunning, 5s));
  CHECK_FALSE(fixture.Worker("worker-1")
                  .runs.contains(TaskAttempt{TaskId{"next/0"}, Attempt{1}}));
  fixture.cluster.RunFor(30s);
  CHECK(fixture.Starts("batch/0") == 2);
}

TEST_CASE("All tasks of a gang start, or none", "[jobs][gang]") {
  JobFixture fixture(2, 2);
  // The racks belong to different shards.
  for (int i = 1; i <= 6; ++i) {
    fixture.AddWorker("worker-" + std::to_string(i), 4,
                      "rack-" + std::to_string(i));
  }
  fixture.cluster.Start();
  JobSpec first = JobFixture::Spec("gang-a", 4, 4);
  first.gang = true;
  JobSpec second = JobFixture::Spec("gang-b", 4, 4);
  second.gang = true;
  fixture.Submit(first, 0);
  fixture.Submit(second, 1);
  int most_partial = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.cluster.RunFor(100ms);
    int running = 0;
    for (int task = 0; task < 4; ++task) {
      running += fixture.Running("gang-b/" + std::to_string(task));
      running += fixture.Running("gang-a/" + std::to_string(task));
    }
    most_partial = std::max(most_partial, running);
  }
  // Six workers have the capacity of one and a half gangs of four; only one may
  // run.
  CHECK(most_partial == 4);
  const bool a_runs = fixture.Running("gang-a/0") == 1;
  for (int task = 0; task < 4; ++task) {
    fixture.Finish((a_runs ? "gang-a/" : "gang-b/") + std::to_string(task),
                   TaskCondition::kSucceeded);
  }
  CHECK(fixture.RunUntilState(a_runs ? "gang-b" : "gang-a", JobState::kRunning,
                              40s));
  CHECK(fixture.overcommits == 0);
}

TEST_CASE("A task that does not fit in its home shard runs in another one",
          "[jobs][gang]") {
  JobFixture fixture(2, 2);
  for (int i = 1; i <= 4; ++i) {
    fixture.AddWorker("worker-" + std::to_string(i), 4,
                      "rack-" + std::to_string(i));
  }
  fixture.cluster.Start();
  fixture.SubmitAndWait(JobFixture::Spec("plan", 16, 1));
  fixture.cluster.RunFor(10s);
  CHECK(fixture.StatusOf("plan").running == 16);
  for (int task = 0; task < 16; ++task) {
    fixture.Finish("plan/" + std::to_string(task), TaskCondition::kSucceeded);
  }
  CHECK(fixture.RunUntilState("plan", JobState::kFinished, 10s));
  for (int task = 0; task < 16; ++task) {
    CHECK(fixture.Starts("plan/" + std::to_string(task)) == 1);
  }
  CHECK(fixture.overcommits == 0);
}

}  // namespace
}  // namespace test
