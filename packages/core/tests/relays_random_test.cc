#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A route that needs no advice.
const std::string kNoAdvice = "/previews/";
constexpr int kNodes = 6;
constexpr int kWorkers = 8;
constexpr int kSeeds = 24;
constexpr int kRounds = 14;

const std::string kLongRunning = "00000000000000f9";
constexpr std::uint32_t kLongRunningTasks = 5;

enum class Faults { kRelays, kRelaysAndWorkers, kPartitions };

/// Submits work and injects faults, both drawn from a seed.
class FaultScenario {
 public:
  explicit FaultScenario(unsigned seed, Faults kinds = Faults::kRelays)
      : faults(kinds),
        world(kNodes, {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"},
              RelayMode::kOn),
        random(seed) {}

  void Run() {
    if (this->faults == Faults::kRelaysAndWorkers) {
      this->SubmitLongRunning();
    }
    for (int round = 0; round < kRounds; ++round) {
      this->Submit();
      this->InjectFault();
      this->world.Run(milliseconds(this->Draw(100, 900)));
      this->MaybeEndFault();
    }
    while (!this->pending_repairs.empty()) {
      this->MaybeEndFault();
    }
    // Time for leases to lapse, for takeovers and for the remaining runs.
    this->world.Run(seconds(30));
  }

  void Check() {
    REQUIRE(this->world.Leader() >= 0);
    for (const std::string& fault : this->world.violations) {
      UNSCOPED_INFO(fault);
    }
    CHECK(this->world.violations.empty());
    if (this->faults == Faults::kRelaysAndWorkers) {
      CHECK(this->world.AtWork(kLongRunning) ==
            static_cast<int>(kLongRunningTasks));
    }
    for (const std::string& id : this->accepted) {
      CAPTURE(id);
      CHECK(this->world.StatusOf(this->world.Leader(), id) ==
            SubmissionState::kCompleted);
    }
  }

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->random);
  }

  std::string DrawWorker() {
    return "w" + std::to_string(this->Draw(1, kWorkers));
  }

  void Submit() {
    const int leader = this->world.Leader();
    if (leader < 0) {
      return;
    }
    this->world.run_time = milliseconds(this->Draw(50, 2500));
    std::string id = std::to_string(100000 + ++this->submissions);
    id.insert(0, 16 - id.size(), '0');
    const std::string route = this->Draw(0, 1) == 0 ? kNoAdvice : "/plans/";
    StepSpec step = Tasks(static_cast<std::uint32_t>(this->Draw(1, 12)));
    step.gang = this->Draw(0, 3) == 0;
    const CallId call = this->world.Submit(leader, id, {step}, route);
    this->world.Run(milliseconds(60));
    const auto answer = this->world.AnswerTo(call);
    if (answer && answer->kind == ErrorKind::kNone) {
      this->accepted.push_back(id);
    }
  }

  void SubmitLongRunning() {
    StepSpec step = Tasks(kLongRunningTasks);
    step.long_running = true;
    step.max_per_worker = 1;
    step.max_unavailable = 1;
    this->world.Submit(this->world.Leader(), kLongRunning, {step}, kNoAdvice);
    this->world.Run(seconds(1));
  }

  void InjectWorkerFault(const std::string& worker) {
    StoreWorld& target = this->world;
    switch (this->Draw(0, 3)) {
      case 0:
        target.Worker(worker).is_silent = true;
        return this->RepairLater(
            [&target, worker] { target.Worker(worker).is_silent = false; });
      case 1:
        return target.RestartWorker(worker);
      case 2:
        target.DrainWorker(worker);
        return this->RepairLater([&target, worker] {
          target.Worker(worker).entry.draining = false;
          target.Relist(worker);
        });
      default:
        // The leader ends while it learns that the worker is silent.
        target.Worker(worker).is_silent = true;
        target.Run(milliseconds(this->Draw(0, 2500)));
        if (target.Leader() >= 0) {
          this->KillOne(target.Leader());
        }
        return this->RepairLater(
            [&target, worker] { target.Worker(worker).is_silent = false; });
    }
  }

  /// Cuts the leader off with some processes and workers: from the store and
  /// from all others.
  void CutGroupOff() {
    const int leader = this->world.Leader();
    if (leader < 0) {
      return;
    }
    std::set<int> inside{leader};
    for (int i = this->Draw(0, 2); i > 0; --i) {
      inside.insert(this->Draw(0, kNodes - 1));
    }
    std::set<std::string> workers;
    for (int i = this->Draw(1, 3); i > 0; --i) {
      workers.insert(this->DrawWorker());
    }
    StoreWorld& target = this->world;
    const auto for_each = [inside, workers](const auto& node_pair,
                                            const auto& node_and_worker) {
      for (int node = 0; node < kNodes; ++node) {
        const bool is_inside = inside.contains(node);
        for (int other = 0; other < kNodes; ++other) {
          if (is_inside && !inside.contains(other)) {
            node_pair(node, other);
          }
        }
        for (int i = 1; i <= kWorkers; ++i) {
          const std::string name = "w" + std::to_string(i);
          if (is_inside != workers.contains(name)) {
            node_and_worker(node, name);
          }
        }
      }
    };
    target.cut_from_store.insert(inside.begin(), inside.end());
    for_each([&](int node, int other) { target.CutLink(node, other); },
             [&](int node, const std::string& name) {
               target.cut_from_worker.insert({node, HostName{name}});
             });
    target.Run(seconds(this->Draw(0, 12)));
    this->RepairLater([&target, inside, for_each] {
      for (const int node : inside) {
        target.cut_from_store.erase(node);
      }
      for_each([&](int node, int other) { target.HealLink(node, other); },
               [&](int node, const std::string& name) {
                 target.cut_from_worker.erase({node, HostName{name}});
               });
    });
  }

  void InjectPartition() {
    StoreWorld& target = this->world;
    switch (this->Draw(0, 3)) {
      case 0:
        target.store_is_down = true;
        target.Run(seconds(this->Draw(0, 12)));
        return this->RepairLater([&target] { target.store_is_down = false; });
      case 1: {
        const std::string worker = this->DrawWorker();
        target.Worker(worker).is_unlisted = true;
        return this->RepairLater([&target, worker] { target.Relist(worker); });
      }
      default:
        return this->CutGroupOff();
    }
  }

  void InjectFault() {
    if (this->faults == Faults::kPartitions && this->Draw(0, 1) == 0) {
      return this->InjectPartition();
    }
    if (this->faults == Faults::kRelaysAndWorkers && this->Draw(0, 1) == 0) {
      return this->InjectWorkerFault(this->DrawWorker());
    }
    const int node = this->Draw(0, kNodes - 1);
    const int other = (node + this->Draw(1, kNodes - 1)) % kNodes;
    const std::string worker = this->DrawWorker();
    StoreWorld& target = this->world;
    switch (this->Draw(0, 8)) {
      case 0:
      case 1:
        return this->KillOne(node);
      case 2:
      case 3:
        target.Freeze(node);
        return this->RepairLater([&target, node] { target.Thaw(node); });
      case 4:
        target.delivery_delay[node] = milliseconds(this->Draw(50, 700));
        return this->RepairLater(
            [&target, node] { target.delivery_delay.erase(node); });
      case 5:
        target.CutLink(node, other);
        return this->RepairLater(
            [&target, node, other] { target.HealLink(node, other); });
      case 6:
        target.cut_from_worker.insert({node, HostName{worker}});
        return this->RepairLater([&target, node, worker] {
          target.cut_from_worker.erase({node, HostName{worker}});
        });
      case 7:
        target.Worker(worker).lost_polls = this->Draw(1, 3);
        return;
      default:
        target.Worker(worker).lost_stops = this->Draw(1, 3);
        return;
    }
  }

  void KillOne(int node) {
    if (!this->down.insert(node).second) {
      return;
    }
    if (this->Draw(0, 1) == 0) {
      this->world.Kill(node);
    } else {
      this->world.KillProcess(node);
    }
    this->RepairLater([this, node] {
      this->down.erase(node);
      this->world.Restart(node);
    });
  }

  void RepairLater(std::function<void()> action) {
    this->pending_repairs.push_back(std::move(action));
  }

  /// Ends the oldest fault with a probability of one half, or if more than two
  /// are active.
  void MaybeEndFault() {
    const bool is_due =
        this->pending_repairs.size() > 2 || this->Draw(0, 1) == 0;
    if (is_due && !this->pending_repairs.empty()) {
      this->pending_repairs.front()();
      this->pending_repairs.erase(this->pending_repairs.begin());
    }
  }

  Faults faults;
  StoreWorld world;
  std::mt19937 random;
  int submissions = 0;
  std::vector<std::string> accepted;
  std::set<int> down;
  std::vector<std::function<void()>> pending_repairs;
};

TEST_CASE("Submissions complete under random faults of relays and workers",
          "[relays][random]") {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    FaultScenario scenario(seed);
    scenario.Run();
    scenario.Check();
  }
}

TEST_CASE(
    "Long-running tasks stay at work under random faults of relays, "
    "workers and leaders",
    "[relays][random][long-running]") {
  for (unsigned seed = 1; seed <= 2 * kSeeds; ++seed) {
    CAPTURE(seed);
    FaultScenario scenario(seed, Faults::kRelaysAndWorkers);
    scenario.Run();
    scenario.Check();
  }
}

TEST_CASE(
    "No task runs twice while leaders are cut off with relays and workers",
    "[cut-off-leader][relays][random][takeover]") {
  for (unsigned seed = 1; seed <= 2 * kSeeds; ++seed) {
    CAPTURE(seed);
    FaultScenario scenario(seed, Faults::kPartitions);
    scenario.Run();
    scenario.Check();
  }
}

}  // namespace
}  // namespace basilspread::test
