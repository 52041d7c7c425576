#include "support/jobs.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "support/cluster.h"
#include "support/http.h"

namespace {

using test::Call;
using test::Cluster;
using test::Eventually;
using test::JobBody;
using test::JobStateAt;

constexpr const char* kPools =
    "[pool workers]\nkind = workers\ngroup = workers\nshards = 2\n";
constexpr const char* kRoutes =
    "[route plan]\npool = workers\nclass = long\ndeadline = 60s\n";

/// Three entry processes and six workers of four cores in three racks.
struct JobCluster {
  Cluster cluster;

  explicit JobCluster(bool short_leases = false) {
    this->cluster.short_leases = short_leases;
    this->cluster.AddWorkers(6, 4, 2);
    this->cluster.PublishHosts();
    this->cluster.AddEntries(3);
    for (std::size_t i = 0; i < 3; ++i) {
      this->cluster.StartEntry(i);
    }
    REQUIRE(this->cluster.PublishTables(kRoutes, kPools, 0) == 0);
    REQUIRE(Eventually([this] { return this->cluster.AllServe(1); }));
  }

  const test::EntryProcess& Entry(std::size_t index) const {
    return this->cluster.entries.at(index);
  }

  /// Submits through an entry process until it is accepted.
  void Submit(std::size_t entry, const std::string& body) {
    std::string last;
    const bool is_accepted = Eventually([this, entry, &body, &last] {
      const auto response =
          Call(this->Entry(entry).http, "POST", "/jobs", body);
      last = response.body;
      return response.status == 200;
    });
    INFO(last);
    REQUIRE(is_accepted);
  }

  bool AllAre(std::size_t entry, const std::vector<std::string>& jobs,
              const std::string& state) const {
    for (const std::string& job : jobs) {
      if (JobStateAt(this->Entry(entry), job) != state) {
        return false;
      }
    }
    return true;
  }

  /// No worker was overcommitted, and no task ran in two places.
  void CheckWorkers() const {
    const test::WorkerTotals totals = ReadTotals(this->cluster);
    CHECK(totals.overcommits == 0);
    CHECK(totals.doubles == 0);
    CHECK(test::Overlaps(totals.runs).empty());
  }
};

TEST_CASE("Jobs submitted through three entry processes run once",
          "[process][jobs]") {
  JobCluster jobs;
  std::vector<std::string> ids;
  for (int i = 0; i < 30; ++i) {
    ids.push_back(fmt::format("plan-{}", i));
    jobs.Submit(static_cast<std::size_t>(i % 3),
                JobBody(ids.back(), 1 + i % 3, "work 300"));
  }
  // The same job again, through another process, is the same job.
  jobs.Submit(1, JobBody("plan-0", 1, "work 300"));
  const auto other = Call(jobs.Entry(2).http, "POST", "/jobs",
                          JobBody("plan-0", 2, "work 300"));
  CHECK(other.status == 409);

  REQUIRE(Eventually([&] { return jobs.AllAre(1, ids, "finished"); }));
  CHECK(ReadTotals(jobs.cluster).starts == 60);
  jobs.CheckWorkers();
}

TEST_CASE("Tasks outlive the kill of every owner, and run once",
          "[process][jobs][fault]") {
  JobCluster jobs;
  std::vector<std::string> ids;
  for (int i = 0; i < 12; ++i) {
    ids.push_back(fmt::format("plan-{}", i));
    jobs.Submit(2, JobBody(ids.back(), 1, "work 6000"));
  }
  REQUIRE(Eventually([&] { return jobs.AllAre(2, ids, "running"); }));

  // Two of three processes: one of them at least owned a shard.
  jobs.cluster.entries[0].process->Kill();
  jobs.cluster.entries[1].process->Kill();

  REQUIRE(Eventually([&] { return jobs.AllAre(2, ids, "finished"); },
                     std::chrono::seconds(40)));
  CHECK(ReadTotals(jobs.cluster).starts == 12);
  jobs.CheckWorkers();
}

TEST_CASE("A worker frozen past its lease does not run a task beside the next",
          "[process][jobs][fault]") {
  JobCluster jobs(true);
  jobs.Submit(0, JobBody("plan", 1, "work 4000"));
  REQUIRE(Eventually([&] { return jobs.AllAre(0, {"plan"}, "running"); }));
  const test::TaskRun run = ReadTotals(jobs.cluster).runs.at(0);
  const auto frozen = std::find_if(
      jobs.cluster.workers.begin(), jobs.cluster.workers.end(),
      [&run](const auto& worker) { return worker.name == run.worker; });

  frozen->process->Signal(SIGSTOP);
  REQUIRE(Eventually([&] {
    return jobs.AllAre(0, {"plan"}, "waiting") ||
           jobs.AllAre(0, {"plan"}, "starting") ||
           jobs.AllAre(0, {"plan"}, "running");
  }));
  REQUIRE(Eventually(
      [&] {
        const auto response = Call(jobs.Entry(0).http, "GET", "/jobs/plan");
        return response.body.find("\"attempts\":2") != std::string::npos;
      },
      std::chrono::seconds(40)));
  frozen->process->Signal(SIGCONT);

  REQUIRE(Eventually([&] { return jobs.AllAre(0, {"plan"}, "finished"); }));
  jobs.CheckWorkers();
}

TEST_CASE("Jobs run once when the answers of appends are lost",
          "[process][jobs][fault]") {
  JobCluster jobs;
  jobs.Submit(0, JobBody("before", 1, "work 100"));
  REQUIRE(
      Call(jobs.cluster.log_port, "POST", "/control", "lose-answers").status ==
      200);
  std::vector<std::string> ids = {"before"};
  for (int i = 0; i < 6; ++i) {
    ids.push_back(fmt::format("plan-{}", i));
    jobs.Submit(static_cast<std::size_t>(i % 3),
                JobBody(ids.back(), 2, "work 200"));
  }
  REQUIRE(Eventually([&] { return jobs.AllAre(0, ids, "finished"); },
                     std::chrono::seconds(40)));
  CHECK(ReadTotals(jobs.cluster).starts == 13);
  jobs.CheckWorkers();
}

TEST_CASE("In an outage of the log new jobs are refused and running ones end",
          "[process][jobs][fault]") {
  JobCluster jobs(true);
  jobs.Submit(0, JobBody("running", 1, "work 8000"));
  REQUIRE(Eventually([&] { return jobs.AllAre(0, {"running"}, "running"); }));
  REQUIRE(Call(jobs.cluster.log_port, "POST", "/control", "down").status ==
          200);

  // The first answers may still say that the outcome is not known.
  int tries = 0;
  REQUIRE(Eventually([&] {
    const auto response =
        Call(jobs.Entry(1).http, "POST", "/jobs",
             JobBody(fmt::format("refused-{}", ++tries), 1, "work 100"));
    return response.headers.contains("X-Error") &&
           response.headers.at("X-Error") == "log-unavailable" &&
           response.headers.at("X-Execution") == "not-run";
  }));
  // Its lease is renewed through an outage that is longer than the lease.
  REQUIRE(Eventually(
      [&] {
        const auto runs = ReadTotals(jobs.cluster).runs;
        return runs.size() == 1 && runs[0].state == "succeeded";
      },
      std::chrono::seconds(30)));
  REQUIRE(Call(jobs.cluster.log_port, "POST", "/control", "up").status == 200);
  REQUIRE(Eventually([&] { return jobs.AllAre(0, {"running"}, "finished"); }));
  jobs.CheckWorkers();
}

TEST_CASE("A gang larger than a shard starts whole, beside another",
          "[process][jobs][gang]") {
  JobCluster jobs;
  // Each needs 16 of the 24 cores: one waits until the other is done.
  jobs.Submit(0, JobBody("gang-a", 16, "work 1500", R"(,"gang":true)"));
  jobs.Submit(1, JobBody("gang-b", 16, "work 1500", R"(,"gang":true)"));
  REQUIRE(Eventually(
      [&] {
        return jobs.AllAre(0, {"gang-a", "gang-b"}, "finished");
      },
      std::chrono::seconds(60)));
  CHECK(ReadTotals(jobs.cluster).starts == 32);
  jobs.CheckWorkers();
}

TEST_CASE("A wave of cancels costs few calls to the workers",
          "[process][jobs][cancel]") {
  JobCluster jobs;
  std::vector<std::string> ids;
  for (int i = 0; i < 60; ++i) {
    ids.push_back(fmt::format("plan-{}", i));
    jobs.Submit(static_cast<std::size_t>(i % 3),
                JobBody(ids.back(), 1, "forever"));
  }
  REQUIRE(Eventually([&] { return ReadTotals(jobs.cluster).starts == 24; }));
  // Those that wait go first: a cancel that frees room starts the next.
  std::stable_partition(ids.begin(), ids.end(), [&jobs](const auto& id) {
    return JobStateAt(jobs.Entry(0), id) == "waiting";
  });
  for (const std::string& id : ids) {
    REQUIRE(Call(jobs.Entry(0).http, "DELETE", "/jobs/" + id).status == 200);
  }
  REQUIRE(Eventually([&] { return jobs.AllAre(1, ids, "cancelled"); }));
  CHECK(ReadTotals(jobs.cluster).starts == 24);
  jobs.CheckWorkers();
}

TEST_CASE("Malformed job calls are refused with a reason",
          "[process][jobs][input]") {
  JobCluster jobs;
  const auto submit = [&jobs](const std::string& body) {
    return Call(jobs.Entry(0).http, "POST", "/jobs", body).status;
  };
  CHECK(submit("") == 400);
  CHECK(submit("[]") == 400);
  CHECK(submit(std::string(1000, '[')) == 400);
  CHECK(submit(JobBody("a/b", 1, "work 1")) == 400);
  CHECK(submit(JobBody("a", 0, "work 1")) == 400);
  CHECK(submit(JobBody("a", 1, "work 1", R"(,"priority":"high")")) == 400);
  CHECK(submit(JobBody("a", 1, "work 1", R"(,"gang":[])")) == 400);
  REQUIRE(Eventually([&submit] {
    return submit(R"({"id":"a","route":"plan",)"
                  R"("tasks":[{"cpu_millicores":64000}]})") == 422;
  }));
  CHECK(Call(jobs.Entry(0).http, "GET", "/jobs/none").status == 404);
  CHECK(Call(jobs.Entry(0).http, "PATCH", "/jobs/none").status == 404);
  CHECK(Call(jobs.Entry(0).http, "GET", "/jobs/%zz").status == 400);
}

}  // namespace
