#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(5);
const std::string kPlans = "/plans/";
const std::string kPreviews = "/previews/";

struct Call {
  CallId number;
  std::string prefix;
  TimePoint sent;
};

struct Tally {
  int taken = 0;
  int refused = 0;
  int other = 0;
  int late = 0;
};

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2", "w3", "w4"}) {
    REQUIRE(this->Leader() >= 0);
  }

  /// Sends one submission a tick to each process in turn, every fifth a plan.
  void Press(Duration time) {
    for (Duration passed{}; passed < time; passed += kTick) {
      const int number = static_cast<int>(this->calls.size());
      const std::string& prefix = number % 5 == 0 ? kPlans : kPreviews;
      const std::string digits = std::to_string(number);
      const std::string id = std::string(16 - digits.size(), '0') + digits;
      this->calls.push_back({this->Submit(number % 3, id, {Tasks(1)}, prefix),
                             prefix, this->Now()});
      this->Run(kTick);
      this->NoteAnswers();
    }
  }

  void NoteAnswers() {
    for (const Call& call : this->calls) {
      if (this->AnswerTo(call.number)) {
        this->answered.emplace(call.number, this->Now());
      }
    }
  }

  Tally Count(const std::string& prefix) const {
    Tally tally;
    for (const Call& call : this->calls) {
      if (call.prefix != prefix) {
        continue;
      }
      const auto answer = this->AnswerTo(call.number);
      const bool is_taken = answer && answer->kind == ErrorKind::kNone;
      const bool is_refused = answer && answer->kind == ErrorKind::kOverloaded;
      tally.taken += is_taken ? 1 : 0;
      tally.refused += is_refused ? 1 : 0;
      tally.other += is_taken || is_refused ? 0 : 1;
      const auto at = this->answered.find(call.number);
      const bool is_late =
          at == this->answered.end() || at->second > call.sent + seconds(3);
      tally.late += is_late ? 1 : 0;
    }
    return tally;
  }

  std::vector<Call> calls;
  std::map<CallId, TimePoint> answered;
};

TEST_CASE("A leader with more calls than it can carry answers all in time",
          "[load-shedding]") {
  World world;
  const int leader = world.Leader();
  const Epoch epoch = world.StateOf(leader).submissions.leadership.epoch;
  world.event_cost[leader] = milliseconds(4);
  world.Press(seconds(10));
  for (int i = 0; i < 700; ++i) {
    world.Run(kTick);
    world.NoteAnswers();
  }
  const Tally plans = world.Count(kPlans);
  const Tally previews = world.Count(kPreviews);
  CAPTURE(plans.taken, plans.refused, plans.other, plans.late);
  CAPTURE(previews.taken, previews.refused, previews.other, previews.late);
  CHECK(plans.other + previews.other == 0);
  CHECK(plans.late + previews.late == 0);
  CHECK(plans.refused + previews.refused > 0);
  // Those with more time are refused first.
  CHECK(plans.refused * (previews.taken + previews.refused) >
        previews.refused * (plans.taken + plans.refused));
  CHECK(world.Leader() == leader);
  CHECK(world.StateOf(leader).submissions.leadership.epoch == epoch);
  CHECK(world.faults.empty());
}

TEST_CASE("A submission that was refused for load never runs",
          "[load-shedding]") {
  World world;
  world.event_cost[world.Leader()] = milliseconds(4);
  world.Press(seconds(5));
  world.event_cost.clear();
  world.Run(seconds(10));
  int refused = 0;
  for (const Call& call : world.calls) {
    const auto answer = world.AnswerTo(call.number);
    if (answer && answer->kind == ErrorKind::kOverloaded) {
      ++refused;
      const std::string digits = std::to_string(&call - world.calls.data());
      CHECK(world.Starts(std::string(16 - digits.size(), '0') + digits) == 0);
      CHECK(answer->retry_after >= seconds(1));
      CHECK(answer->retry_after <= seconds(10));
    }
  }
  CHECK(refused > 0);
}

TEST_CASE("Status and cancel calls are answered while submissions are refused",
          "[load-shedding]") {
  World world;
  const int leader = world.Leader();
  const std::string id = "00000000000000a1";
  world.run_time = seconds(60);
  world.Submit(leader, id, {Tasks(1)});
  world.Run(seconds(1));
  world.event_cost[leader] = milliseconds(4);
  world.Press(seconds(5));
  const CallId status =
      world.Ask((leader + 1) % 3, SubmissionOperation::kStatus, id);
  const CallId cancel =
      world.Ask((leader + 2) % 3, SubmissionOperation::kCancel, id);
  world.Press(milliseconds(2500));
  REQUIRE(world.AnswerTo(status));
  CHECK(world.AnswerTo(status)->kind == ErrorKind::kNone);
  REQUIRE(world.AnswerTo(cancel));
  CHECK(world.AnswerTo(cancel)->kind == ErrorKind::kNone);
}

TEST_CASE("A burst that is worked off at once is not refused",
          "[load-shedding]") {
  World world;
  world.event_cost[world.Leader()] = milliseconds(1);
  for (int burst = 0; burst < 5; ++burst) {
    for (int i = 0; i < 30; ++i) {
      const int number = static_cast<int>(world.calls.size());
      const std::string digits = std::to_string(number);
      const std::string id = std::string(16 - digits.size(), '0') + digits;
      world.calls.push_back(
          {world.Submit(number % 3, id, {Tasks(1)}), kPlans, world.Now()});
    }
    world.Run(seconds(2));
  }
  CHECK(world.Count(kPlans).taken == 150);
}

}  // namespace
}  // namespace basilspread::test
