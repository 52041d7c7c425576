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
constexpr int kSeeds = 24;
constexpr int kRounds = 14;

/// Faults and submissions drawn from a seed.
class Play {
 public:
  explicit Play(unsigned seed)
      : world(kNodes, {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"},
              RelayMode::kOn),
        random(seed) {}

  void Run() {
    for (int round = 0; round < kRounds; ++round) {
      this->Submit();
      this->Disturb();
      this->world.Run(milliseconds(this->Draw(100, 900)));
      this->Relieve();
    }
    while (!this->relief.empty()) {
      this->Relieve();
    }
    // Leases, takeovers and what then still has to run.
    this->world.Run(seconds(30));
  }

  void Check() {
    REQUIRE(this->world.Leader() >= 0);
    CHECK(this->world.violations.empty());
    for (const std::string& fault : this->world.violations) {
      UNSCOPED_INFO(fault);
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

  std::string DrawWorker() { return "w" + std::to_string(this->Draw(1, 8)); }

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

  void Disturb() {
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
        return this->Later([&target, node] { target.Thaw(node); });
      case 4:
        target.delivery_delay[node] = milliseconds(this->Draw(50, 700));
        return this->Later(
            [&target, node] { target.delivery_delay.erase(node); });
      case 5:
        target.CutLink(node, other);
        return this->Later(
            [&target, node, other] { target.HealLink(node, other); });
      case 6:
        target.cut_from_worker.insert({node, HostName{worker}});
        return this->Later([&target, node, worker] {
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
    this->Later([this, node] {
      this->down.erase(node);
      this->world.Restart(node);
    });
  }

  void Later(std::function<void()> action) {
    this->relief.push_back(std::move(action));
  }

  /// Ends the oldest disturbance, now and then.
  void Relieve() {
    const bool is_due = this->relief.size() > 2 || this->Draw(0, 1) == 0;
    if (is_due && !this->relief.empty()) {
      this->relief.front()();
      this->relief.erase(this->relief.begin());
    }
  }

  StoreWorld world;
  std::mt19937 random;
  int submissions = 0;
  std::vector<std::string> accepted;
  std::set<int> down;
  std::vector<std::function<void()>> relief;
};

TEST_CASE("Hands that come and go break no promise", "[hands][random]") {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Play play(seed);
    play.Run();
    play.Check();
  }
}

}  // namespace
}  // namespace basilspread::test
