#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000d1";
const std::string kSecond = "00000000000000d2";

constexpr Duration kEventCost = milliseconds(10);
constexpr Duration kStep = milliseconds(10);

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2"}) { REQUIRE(this->Leader() >= 0); }

  /// Runs for `time` while the event queue of a process causes a delay of
  /// `delay`.
  void RunBehind(int node, Duration delay, Duration time) {
    this->event_cost[node] = kEventCost;
    const auto depth = static_cast<std::size_t>(delay / kEventCost);
    for (Duration passed{}; passed < time; passed += kStep) {
      while (this->QueuedEvents(node) < depth) {
        this->SendCall(node, SubmissionOperation::kStatus, kSecond);
      }
      this->Run(kStep);
    }
  }

  bool Leads(int node) const {
    return this->StateOf(node).submissions.leadership.phase ==
           LeaderPhase::kLeading;
  }

  TimePoint ReleasedAt(int node) const {
    return this->StateOf(node).submissions.leadership.release_sent_at;
  }

  Epoch EpochAt(int node) const {
    return this->StateOf(node).submissions.leadership.epoch;
  }
};

TEST_CASE("A leader does not mistake its own delay for a silent store",
          "[own-delay]") {
  World world;
  const int leader = world.Leader();
  const Epoch epoch = world.EpochAt(leader);
  world.store_time = milliseconds(5);
  for (int i = 0; i < 4; ++i) {
    world.Submit(leader, "00000000000000e" + std::to_string(i), {Tasks(1)});
    world.Run(kStep);
    world.RunBehind(leader, milliseconds(600), milliseconds(700));
    world.event_cost.clear();
    world.Run(milliseconds(500));
  }
  CHECK(world.ReleasedAt(leader) == TimePoint{});
  CHECK(world.Leader() == leader);
  CHECK(world.EpochAt(leader) == epoch);
}

TEST_CASE("A leader requests its release when the store is silent for 400 ms",
          "[own-delay]") {
  World world;
  const int leader = world.Leader();
  world.cut_from_store = {leader};
  world.Submit(leader, kFirst, {Tasks(1)});
  world.Run(milliseconds(390));
  CHECK(world.ReleasedAt(leader) == TimePoint{});
  world.Run(milliseconds(100));
  CHECK(world.ReleasedAt(leader) != TimePoint{});
  world.Run(milliseconds(200));
  CHECK((world.Leads((leader + 1) % 3) || world.Leads((leader + 2) % 3)));
}

TEST_CASE("An append whose answer waits in the event queue is not repeated",
          "[own-delay]") {
  World world;
  const int leader = world.Leader();
  const int before = world.Appends();
  world.Submit(leader, kFirst, {Tasks(1)});
  world.Run(kStep);
  // The answer waits for 600 ms.
  world.RunBehind(leader, milliseconds(600), milliseconds(550));
  CHECK(world.Appends() == before + 1);
}

TEST_CASE(
    "Work behind an append whose answer waits in the event queue is accepted",
    "[own-delay]") {
  World world;
  const int leader = world.Leader();
  const CallId first = world.Submit(leader, kFirst, {Tasks(1)});
  world.Run(kStep);
  const CallId second = world.Submit(leader, kSecond, {Tasks(1)});
  world.RunBehind(leader, milliseconds(1200), milliseconds(2500));
  world.event_cost.clear();
  world.Run(seconds(1));
  REQUIRE(world.AnswerTo(first));
  CHECK(world.AnswerTo(first)->kind == ErrorKind::kNone);
  REQUIRE(world.AnswerTo(second));
  CHECK(world.AnswerTo(second)->kind == ErrorKind::kNone);
}

TEST_CASE("A call whose answer waits in the event queue is not sent again",
          "[own-delay]") {
  World world;
  const int leader = world.Leader();
  const int follower = leader == 0 ? 1 : 0;
  const int before = world.CallsSent(follower, kFirst);
  world.Submit(follower, kFirst, {Tasks(1)});
  world.RunBehind(follower, milliseconds(1000), milliseconds(1700));
  CHECK(world.CallsSent(follower, kFirst) == before + 1);
}

TEST_CASE(
    "A caller is not refused while a join's answer waits in the event queue",
    "[own-delay]") {
  World world;
  const int node = world.Leader() == 0 ? 1 : 0;
  // Joins have failed until now and are answered again.
  world.Kill(world.Leader());
  world.store_is_down = true;
  world.Run(milliseconds(1200));
  REQUIRE(world.StateOf(node).submissions.leadership.joins_fail_since);
  world.store_is_down = false;
  const CallId call = world.Submit(node, kFirst, {Tasks(1)});
  world.Run(kStep);
  world.RunBehind(node, milliseconds(900), milliseconds(1100));
  const auto answer = world.AnswerTo(call);
  CHECK((!answer || answer->kind == ErrorKind::kNone));
}

TEST_CASE(
    "An advice query whose answer waits in the event queue is not given up",
    "[own-delay]") {
  World world;
  const int leader = world.Leader();
  world.Submit(leader, kFirst, {Tasks(1)});
  while (world.AdviceQueries() == 0) {
    world.Run(milliseconds(5));
  }
  world.RunBehind(leader, milliseconds(1800), milliseconds(2600));
  world.event_cost.clear();
  world.Run(seconds(1));
  CHECK(world.AdviceQueries() == 1);
}

TEST_CASE("A new leader waits for polls whose answers are in its event queue",
          "[own-delay]") {
  World world;
  world.run_time = seconds(3);
  world.Submit(world.Leader(), kFirst, {Tasks(2)});
  world.Run(milliseconds(300));
  const int before = world.Leader();
  for (int node = 0; node < 3; ++node) {
    if (node != before) {
      world.event_cost[node] = milliseconds(15);
    }
  }
  world.KillProcess(before);
  for (int i = 0; i < 300 && world.Leader() < 0; ++i) {
    world.Run(kStep);
  }
  const int next = world.Leader();
  REQUIRE(next >= 0);
  CHECK_FALSE(world.StateOf(next).submissions.fleet.inherited_leases_end);
}

TEST_CASE("Time in the event queue counts towards a call's deadline",
          "[own-delay]") {
  World world;
  const int leader = world.Leader();
  const int follower = leader == 0 ? 1 : 0;
  world.Kill(leader);
  world.store_is_down = true;
  world.RunBehind(follower, milliseconds(500), milliseconds(600));
  const TimePoint sent = world.Now();
  const CallId number =
      world.SendCall(follower, SubmissionOperation::kCancel, kFirst);
  world.RunBehind(follower, milliseconds(500), milliseconds(700));
  const auto& calls = world.StateOf(follower).submissions.calls;
  REQUIRE(calls.contains(number));
  CHECK(calls.at(number).arrived <= sent + kStep);
  CHECK(calls.at(number).deadline <= sent + kStep + seconds(3));
}

}  // namespace
}  // namespace basilspread::test
