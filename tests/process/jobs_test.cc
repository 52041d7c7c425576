#include "support/jobs.h"

#include <fmt/format.h>
#include <signal.h>

#include <catch2/catch.hpp>
#include <set>

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

  JobCluster() {
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

}  // namespace
