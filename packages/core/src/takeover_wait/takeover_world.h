#ifndef BASILSPREAD_CORE_TAKEOVER_WAIT_TAKEOVER_WORLD_H_
#define BASILSPREAD_CORE_TAKEOVER_WAIT_TAKEOVER_WORLD_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {

/// A StoreWorld whose workers are occupied when its leaders are lost.
struct TakeoverWorld : StoreWorld {
  using StoreWorld::StoreWorld;

  static constexpr std::uint32_t kMaxTasks = 12;
  static constexpr Duration kTick = std::chrono::milliseconds(5);

  const LeadershipState& Leadership(int node) const {
    return this->StateOf(node).submissions.leadership;
  }

  void SubmitStep(const std::string& id, const StepSpec& step) {
    this->Submit(this->Leader(), id, {step}, "/previews/");
    this->Run(std::chrono::milliseconds(300));
  }

  /// Number of starts of all tasks of the submission.
  int StartsOf(const std::string& id) const {
    int sum = 0;
    for (std::uint32_t i = 0; i < kMaxTasks; ++i) {
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

  /// The process with the highest epoch of those that lead, or -1.
  int LatestLeader() const {
    int latest = -1;
    for (const int node : this->Joined()) {
      const LeadershipState& state = this->Leadership(node);
      if (state.phase == LeaderPhase::kLeading && !this->lost.contains(node) &&
          (latest < 0 || state.epoch > this->Leadership(latest).epoch)) {
        latest = node;
      }
    }
    return latest;
  }

  /// Runs until a process leads in a higher epoch than this. Returns it.
  int AwaitLeader(Epoch above = {}) {
    constexpr int kMaxTicks = 4000;
    for (int i = 0; i < kMaxTicks; ++i) {
      const int latest = this->LatestLeader();
      if (latest >= 0 && this->Leadership(latest).epoch > above) {
        return latest;
      }
      this->Run(kTick);
    }
    FAIL("no process leads");
    return -1;
  }

  /// Time since the latest leader gained the leadership.
  Duration SinceTakeover() const {
    return this->Now() - this->Leadership(this->LatestLeader()).gained_at;
  }

  /// Runs until this time after the takeover.
  void RunUntil(Duration since_takeover) {
    while (this->SinceTakeover() < since_takeover) {
      this->Run(kTick);
    }
  }

  void CheckNoViolation() const {
    for (const std::string& violation : this->violations) {
      UNSCOPED_INFO(violation);
    }
    CHECK(this->violations.empty());
  }

  /// Nodes whose processes or machines are lost for good.
  std::set<int> lost;
};

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TAKEOVER_WAIT_TAKEOVER_WORLD_H_
