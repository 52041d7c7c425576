#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "basilspread/core/capacity.h"
#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Capacity kWeak{0.1, 10};
const Capacity kStrong{0.5, 200};
const std::vector<std::string> kWorkers = {"w1", "w2"};
const std::string kFirst = "00000000000000c1";

/// Runs until a process other than `but` leads, for at most 10 s; returns the
/// time that took.
Duration UntilLed(StoreWorld& world, int but) {
  Duration waited{};
  while ((world.Leader() < 0 || world.Leader() == but) &&
         waited < seconds(10)) {
    world.Run(milliseconds(10));
    waited += milliseconds(10);
  }
  return waited;
}

TEST_CASE("One capacity outranks another by twice of one resource",
          "[candidacy]") {
  CHECK(Outranks({0.5, 200}, {0.12, 10}));
  CHECK(Outranks({0.2, 10}, {0.1, 10}));
  CHECK_FALSE(Outranks({0.19, 10}, {0.1, 10}));
  CHECK_FALSE(Outranks({0.12, 10}, {0.5, 200}));
  // More of one and less of the other.
  CHECK_FALSE(Outranks({0.5, 10}, {0.12, 200}));
  // Capacities that are not configured.
  CHECK_FALSE(Outranks({}, {0.12, 10}));
  CHECK_FALSE(Outranks({0.5, 200}, {}));
  CHECK(Outranks({0.5, 0}, {0.12, 10}));
}

TEST_CASE("A strong process leads, and weak ones do not join the group",
          "[candidacy]") {
  const int strong = GENERATE(0, 2, 4);
  std::vector<Capacity> capacities(5, kWeak);
  capacities[static_cast<std::size_t>(strong)] = kStrong;
  StoreWorld world(capacities, kWorkers);
  CHECK(world.Leader() == strong);
  CHECK(world.LeaderChanges() == 1);
  CHECK(world.Joined() == std::set<int>{strong});
  const int weak = strong == 0 ? 1 : 0;
  const CallId call = world.Submit(weak, kFirst, {Tasks(1)});
  world.Run(seconds(1));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
}

TEST_CASE("Equal processes all join the group", "[candidacy]") {
  const Capacity each = GENERATE(Capacity{}, Capacity{0.25, 1000});
  StoreWorld world(std::vector<Capacity>(4, each), kWorkers);
  CHECK(world.Members() == std::set<int>{0, 1, 2, 3});
  const int before = world.Leader();
  world.Restart((before + 1) % 4);
  world.Run(seconds(3));
  CHECK(world.Members().size() == 4);
  CHECK(world.LeaderChanges() == 1);
  world.KillProcess(before);
  CHECK(UntilLed(world, before) <= milliseconds(150));
}

TEST_CASE("A strong candidate takes over at once", "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak, kStrong, kWeak}, kWorkers);
  const int before = world.Leader();
  REQUIRE(world.Members() == std::set<int>{1, 3});
  SECTION("when the leader's process ends") { world.KillProcess(before); }
  SECTION("when the leader stops") { world.Stop(before); }
  CHECK(UntilLed(world, before) <= milliseconds(150));
  CHECK(world.Leader() == 4 - before);
  const CallId call = world.Submit(0, kFirst, {Tasks(1)});
  world.Run(seconds(1));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  CHECK(world.LeaderChanges() == 2);
}

TEST_CASE("Weak processes follow a leadership that moves without notice",
          "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak, kStrong}, kWorkers);
  const int before = world.Leader();
  SECTION("to another member") { world.MoveLeadership(4 - before); }
  SECTION("because its host has lost power") { world.Kill(before); }
  world.Run(milliseconds(2500));
  CHECK(world.Leader() == 4 - before);
  for (const int weak : {0, 2}) {
    const CallId call = world.Submit(
        weak, "00000000000000f" + std::to_string(weak), {Tasks(1)});
    world.Run(milliseconds(300));
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  }
}

TEST_CASE(
    "A weak process leads when the strong ones are lost, until one is "
    "back",
    "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak, kStrong, kWeak}, kWorkers);
  world.joins_move_leadership = GENERATE(false, true);
  const bool refuses = GENERATE(false, true);
  for (const int strong : {1, 3}) {
    if (refuses) {
      world.KillProcess(strong);
    } else {
      world.Kill(strong);
    }
  }
  // A membership expires after 1.2 s.
  CHECK(UntilLed(world, -1) <= milliseconds(refuses ? 1000 : 2500));
  world.Run(seconds(3));
  const int weak = world.Leader();
  REQUIRE(weak >= 0);
  const CallId call = world.Submit(weak == 0 ? 2 : 0, kFirst, {Tasks(1)});
  world.Run(milliseconds(500));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  const int moves = world.LeaderChanges();
  world.Restart(3);
  world.Run(seconds(5));
  CHECK(world.Leader() == 3);
  CHECK(world.LeaderChanges() == moves + 1);
  CHECK(world.Members() == std::set<int>{3});
  // The leadership does not move again.
  world.Run(seconds(10));
  CHECK(world.LeaderChanges() == moves + 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A process that starts takes no leadership from a stronger one",
          "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak}, kWorkers);
  world.joins_move_leadership = true;
  world.Restart(0);
  world.Run(seconds(4));
  CHECK(world.Leader() == 1);
  CHECK(world.LeaderChanges() == 1);
}

TEST_CASE("A strong process that cannot reach the store is no candidate",
          "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak}, kWorkers);
  world.cut_from_store = {1};
  world.Submit(0, kFirst, {Tasks(1)});
  world.Run(seconds(3));
  const int weak = world.Leader();
  CHECK((weak == 0 || weak == 2 || weak == 1));
  const CallId call = world.Submit(0, "00000000000000c2", {Tasks(1)});
  world.Run(seconds(2));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  // The leadership did not move to it and back.
  CHECK(world.LeaderChanges() == 2);
  world.cut_from_store.clear();
  world.Run(seconds(6));
  CHECK(world.Leader() == 1);
  CHECK(world.LeaderChanges() == 3);
  CHECK(world.violations.empty());
}

TEST_CASE("Equal processes that restart together have a leader soon",
          "[candidacy]") {
  const std::size_t count = GENERATE(3, 8);
  StoreWorld world(std::vector<Capacity>(count, Capacity{0.25, 1000}),
                   kWorkers);
  for (int node = 0; node < static_cast<int>(count); ++node) {
    world.Kill(node);
  }
  world.Run(milliseconds(50));
  for (int node = 0; node < static_cast<int>(count); ++node) {
    world.Restart(node);
  }
  // As fast as where the capacities of the hosts are not configured.
  CHECK(UntilLed(world, -1) <= milliseconds(350));
}

/// Runs while the event queue of a process causes a delay of half a second.
void RunOverloaded(StoreWorld& world, int node, Duration time) {
  constexpr std::size_t kEvents = 50;
  world.event_cost[node] = milliseconds(10);
  for (Duration passed{}; passed < time; passed += milliseconds(10)) {
    while (world.QueuedEvents(node) < kEvents) {
      world.SendCall(node, SubmissionOperation::kStatus, kFirst);
    }
    world.Run(milliseconds(10));
  }
}

TEST_CASE("An overloaded leader yields to a stronger process once",
          "[candidacy]") {
  StoreWorld world({{0.25, 100}, {0.4, 100}}, kWorkers);
  world.KillProcess(1);
  world.Run(seconds(3));
  REQUIRE(world.Leader() == 0);
  world.Restart(1);
  world.Run(seconds(3));
  // The other process is less than twice as strong.
  REQUIRE(world.Leader() == 0);
  const int moves = world.LeaderChanges();
  RunOverloaded(world, 0, seconds(6));
  CHECK(world.Leader() == 1);
  world.event_cost.clear();
  world.Run(seconds(10));
  CHECK(world.Leader() == 1);
  CHECK(world.LeaderChanges() == moves + 1);
}

TEST_CASE("An overloaded leader keeps the leadership among equal processes",
          "[candidacy]") {
  StoreWorld world(std::vector<Capacity>(3, Capacity{0.25, 100}), kWorkers);
  const int leader = world.Leader();
  RunOverloaded(world, leader, seconds(6));
  CHECK(world.Leader() == leader);
  CHECK(world.LeaderChanges() == 1);
}

TEST_CASE("After a power failure of all hosts there is a leader soon",
          "[candidacy]") {
  StoreWorld world({kWeak, kStrong, kWeak, kWeak}, kWorkers);
  for (int node = 0; node < 4; ++node) {
    world.Kill(node);
  }
  world.Run(seconds(3));
  for (int node = 0; node < 4; ++node) {
    world.Restart(node);
  }
  CHECK(UntilLed(world, -1) <= milliseconds(300));
  CHECK(world.Leader() == 1);
}

}  // namespace
}  // namespace basilspread::test
