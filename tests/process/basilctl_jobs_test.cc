#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "support/cluster.h"
#include "support/jobs.h"
#include "support/run.h"

namespace {

constexpr const char* kRoutes = "[route plan]\npool = workers\nclass = long\n";
constexpr const char* kPools =
    "[pool workers]\nkind = workers\ngroup = workers\nshards = 1\n";

std::string Write(const test::Cluster& cluster, const std::string& name,
                  const std::string& text) {
  std::string path = cluster.folder + "/" + name;
  std::ofstream(path) << text;
  return path;
}

TEST_CASE("Operators submit, watch and cancel jobs", "[process][basilctl]") {
  test::Cluster cluster;
  cluster.AddWorkers(2, 4, 1);
  cluster.PublishHosts();
  cluster.AddEntries(1);
  cluster.StartEntry(0);
  const test::EntryProcess& entry = cluster.entries[0];
  const std::string addresses =
      Write(cluster, "cluster.ini",
            fmt::format("[cluster]\nlog = 127.0.0.1:{}\nadmin = 127.0.0.1:{}\n"
                        "http = 127.0.0.1:{}\n",
                        cluster.log_port, entry.admin, entry.http));
  const auto ctl = [&addresses](std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--config", addresses});
    return test::RunBasilctl(arguments);
  };
  REQUIRE(cluster.PublishTables(kRoutes, kPools, 0) == 0);
  const std::string quick =
      Write(cluster, "quick.json", test::JobBody("quick", 1, "work 200"));
  REQUIRE(test::Eventually([&] { return ctl({"submit", quick}).status == 0; }));
  const auto waited = ctl({"wait", "quick", "--timeout", "30s"});
  INFO(waited.out << waited.err);
  REQUIRE(waited.status == 0);
  REQUIRE(ctl({"job", "quick", "--json"}).out.find("finished") !=
          std::string::npos);

  const std::string slow =
      Write(cluster, "slow.json", test::JobBody("slow", 1, "work 60000"));
  REQUIRE(ctl({"submit", slow}).status == 0);
  REQUIRE(ctl({"wait", "slow", "--timeout", "300ms"}).status == 5);
  REQUIRE(ctl({"jobs"}).out.find("slow") != std::string::npos);

  SECTION("a pool with a job is not removed") {
    const auto refused = ctl({"publish", "--base", "1", "--author", "isla",
                              "--routes", Write(cluster, "none.ini", ""),
                              "--pools", Write(cluster, "none.ini", "")});
    REQUIRE(refused.status == 2);
    REQUIRE(refused.err.find("still has 1 jobs") != std::string::npos);
  }
  SECTION("a draining pool takes no new job and finishes the known") {
    REQUIRE(ctl({"publish", "--base", "1", "--author", "isla", "--wait",
                 "--routes", Write(cluster, "routes2.ini", kRoutes), "--pools",
                 Write(cluster, "pools2.ini",
                       std::string(kPools) + "draining = yes\n")})
                .status == 0);
    REQUIRE(ctl({"submit", Write(cluster, "late.json",
                                 test::JobBody("late", 1, "work 1"))})
                .status == 2);
    REQUIRE(ctl({"job", "slow"}).out.find("running") != std::string::npos);
  }
  SECTION("a removed route takes no new job, and answers for the known one") {
    const auto removed =
        ctl({"publish", "--base", "1", "--author", "isla", "--wait", "--routes",
             Write(cluster, "none.ini", ""), "--pools",
             Write(cluster, "pools.ini", kPools)});
    INFO(removed.out << removed.err);
    REQUIRE(removed.status == 0);
    REQUIRE(ctl({"submit", slow}).status == 0);
    const auto refused = ctl(
        {"submit", Write(cluster, "late.json", test::JobBody("late", 1, ""))});
    REQUIRE(refused.status == 2);
    REQUIRE(refused.err.find("unknown-route") != std::string::npos);
  }
  SECTION("a job is cancelled, and waiting for it tells so") {
    REQUIRE(ctl({"cancel", "slow"}).status == 0);
    REQUIRE(ctl({"wait", "slow", "--timeout", "30s"}).status == 1);
  }
  SECTION("faults are told") {
    REQUIRE(ctl({"job", "nothing"}).status == 2);
    REQUIRE(ctl({"submit", Write(cluster, "bad.json", "[1")}).status == 2);
  }
}

}  // namespace
