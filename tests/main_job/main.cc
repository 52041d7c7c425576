// The main job on the built-in stand-ins: requests, jobs and a gang through
// three entry processes, of which one is killed in the middle.
#include <fmt/format.h>

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "main_job/callers.h"
#include "main_job/ledger.h"
#include "support/cluster.h"
#include "support/http.h"
#include "support/jobs.h"

namespace main_job {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPools =
    "[pool layout]\n"
    "kind = minions\n"
    "group = minions\n"
    "shards = 3\n"
    "[pool plans]\n"
    "kind = workers\n"
    "group = workers\n"
    "shards = 3\n";

constexpr const char* kRoutes =
    "[route preview]\n"
    "pool = layout\n"
    "class = urgent\n"
    "deadline = 5s\n"
    "idempotent = yes\n"
    "retries = 2\n"
    "expected_run_time = 10ms\n"
    "[route loop-plan]\n"
    "pool = layout\n"
    "class = long\n"
    "deadline = 20s\n"
    "idempotent = yes\n"
    "retries = 2\n"
    "expected_run_time = 400ms\n"
    "[route stock-move]\n"
    "pool = layout\n"
    "class = short\n"
    "deadline = 5s\n"
    "idempotent = no\n"
    "expected_run_time = 30ms\n"
    "[route estate]\n"
    "pool = plans\n"
    "class = long\n"
    "deadline = 60s\n";

/// When the entry process is killed, and when its host is replaced.
constexpr milliseconds kKillAfter(1500);
constexpr milliseconds kReplaceAfter(3000);

void StartCluster(test::Cluster& cluster) {
  cluster.AddMinions(8, 4, 2);
  cluster.AddWorkers(6, 8, 2);
  cluster.PublishHosts();
  cluster.AddEntries(3);
  for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
    cluster.StartEntry(i);
  }
}

/// Whether every entry process serves a request.
bool IsServing(const test::Cluster& cluster) {
  for (const test::EntryProcess& entry : cluster.entries) {
    if (test::Call(entry.http, "POST", "/route/preview", "ready").status !=
        200) {
      return false;
    }
  }
  return true;
}

Addresses AddressesOf(const test::Cluster& cluster) {
  Addresses addresses;
  for (const test::EntryProcess& entry : cluster.entries) {
    addresses.push_back(entry.http);
  }
  return addresses;
}

/// Starts all callers; each runs on a thread of its own.
std::vector<std::thread> StartCallers(const Addresses& entries,
                                      Ledger& ledger) {
  std::vector<std::thread> callers;
  const auto add_requests = [&](int count, const RequestPlan& plan) {
    for (int caller = 0; caller < count; ++caller) {
      RequestPlan own = plan;
      own.caller = caller;
      callers.emplace_back(
          [&entries, &ledger, own] { SendRequests(entries, own, ledger); });
    }
  };
  add_requests(6, {"preview", 0, 60, milliseconds(10), true});
  add_requests(4, {"loop-plan", 0, 10, milliseconds(400), true});
  add_requests(3, {"stock-move", 0, 40, milliseconds(30), false});
  for (int i = 0; i < 12; ++i) {
    const JobPlan plan{fmt::format("plan-{}", i), 1, false, milliseconds(1500)};
    callers.emplace_back(
        [&entries, &ledger, plan] { RunJob(entries, plan, ledger); });
  }
  const JobPlan gang{"estate-gang", 8, true, milliseconds(1500)};
  callers.emplace_back(
      [&entries, &ledger, gang] { RunJob(entries, gang, ledger); });
  return callers;
}

/// Kills the second entry process in the middle and starts it again, as a
/// replaced host would.
void KillAndReplace(test::Cluster& cluster) {
  const auto never = [] { return false; };
  test::Eventually(never, kKillAfter);
  cluster.entries[1].process->Kill();
  fmt::print("Killed {} in the middle.\n", cluster.entries[1].name);
  test::Eventually(never, kReplaceAfter);
  cluster.StartEntry(1);
}

/// How often each request ran on any minion.
std::map<std::string, int> CountRuns(const test::Cluster& cluster) {
  std::map<std::string, int> runs;
  for (const test::MinionProcess& minion : cluster.minions) {
    std::istringstream lines(test::Call(minion.port, "GET", "/runs").body);
    std::string id;
    int count = 0;
    while (lines >> id >> count) {
      runs[id] += count;
    }
  }
  return runs;
}

void PrintTable(const std::map<std::string, std::vector<Entry>>& classes) {
  fmt::print("{:<12}{:>10}{:>10}{:>9}{:>9}{:>13}{:>13}\n", "class", "submitted",
             "finished", "refused", "unknown", "wait p50 ms", "wait p99 ms");
  for (const auto& [name, entries] : classes) {
    const Tally tally = TallyOf(entries);
    fmt::print("{:<12}{:>10}{:>10}{:>9}{:>9}{:>13}{:>13}\n", name,
               tally.submitted, tally.finished, tally.refused, tally.unknown,
               tally.p50.count(), tally.p99.count());
  }
}

/// Collects what broke a promise.
class Check {
 public:
  void Expect(bool holds, const std::string& what) {
    if (!holds) {
      this->broken.push_back(what);
    }
  }

  int Finish() const {
    for (const std::string& what : this->broken) {
      fmt::print("BROKEN: {}\n", what);
    }
    return this->broken.empty() ? 0 : 1;
  }

 private:
  std::vector<std::string> broken;
};

void CheckRequests(const test::Cluster& cluster,
                   const std::map<std::string, std::vector<Entry>>& classes,
                   Check& check) {
  const std::map<std::string, int> runs = CountRuns(cluster);
  for (const auto& [name, entries] : classes) {
    for (const Entry& entry : entries) {
      const bool is_request = name != "job" && name != "gang";
      const auto found = runs.find(entry.id);
      const int count = found == runs.end() ? 0 : found->second;
      const bool is_done = entry.outcome == Outcome::kFinished;
      if (name == "stock-move") {
        check.Expect(count <= 1, entry.id + " ran more than once");
      }
      if (name == "stock-move" && entry.outcome == Outcome::kRefused) {
        check.Expect(count == 0, entry.id + " was refused and ran");
      }
      if (is_request) {
        check.Expect(!is_done || count >= 1, entry.id + " never ran");
      }
      // Whether a non-idempotent request ran may stay unknown to its caller
      // when its owner was killed; everything else has to finish.
      check.Expect(is_done || name == "stock-move",
                   entry.id + " did not finish");
    }
  }
}

void CheckTasks(const test::Cluster& cluster, Check& check) {
  const test::WorkerTotals totals = test::ReadTotals(cluster);
  check.Expect(totals.overcommits == 0, "a worker was overcommitted");
  std::map<std::string, int> finished;
  for (const test::TaskRun& run : totals.runs) {
    finished[run.task] += run.state == "succeeded" ? 1 : 0;
  }
  for (const auto& [task, count] : finished) {
    check.Expect(count == 1, fmt::format("{} finished {} times", task, count));
  }
  for (const std::string& overlap : test::Overlaps(totals.runs)) {
    check.Expect(false, "two places at once: " + overlap);
  }
}

int Run() {
  test::Cluster cluster;
  StartCluster(cluster);
  if (cluster.PublishTables(kRoutes, kPools, 0) != 0) {
    fmt::print("The tables were not published.\n");
    return 1;
  }
  if (!test::Eventually([&cluster] { return IsServing(cluster); })) {
    fmt::print("The entry processes do not serve.\n");
    return 1;
  }
  fmt::print("Three entry processes serve 8 minions and 6 workers.\n");
  const Addresses entries = AddressesOf(cluster);
  Ledger ledger;
  std::vector<std::thread> callers = StartCallers(entries, ledger);
  KillAndReplace(cluster);
  for (std::thread& caller : callers) {
    caller.join();
  }
  const auto classes = ledger.Entries();
  PrintTable(classes);
  Check check;
  CheckRequests(cluster, classes, check);
  CheckTasks(cluster, check);
  const int status = check.Finish();
  fmt::print("{}\n", status == 0 ? "All accepted work finished exactly once."
                                 : "A promise was broken.");
  return status;
}

}  // namespace
}  // namespace main_job

int main() { return main_job::Run(); }
