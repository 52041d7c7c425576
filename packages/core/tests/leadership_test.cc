#include "basilspread/core/leadership.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000b1";
const std::string kSecond = "00000000000000b2";
const std::string kThird = "00000000000000b3";

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2", "w3", "w4"}) {
    REQUIRE(this->Leader() >= 0);
  }
};

int Other(int node) { return node == 0 ? 1 : 0; }

/// Kills the leader and waits for the next one.
void ReplaceLeader(StoreWorld& world) {
  world.Kill(world.Leader());
  world.Run(seconds(2));
  REQUIRE(world.Leader() >= 0);
}

TEST_CASE("A group member survives encoding as text", "[leadership]") {
  const GroupMember member{{NodeName{"node-1"}, 77}, "10.0.0.1:7000"};
  CHECK(ParseGroupMember(ToString(member)) == member);
  CHECK_FALSE(ParseGroupMember("node-1"));
  CHECK_FALSE(ParseGroupMember("node-1/x/10.0.0.1:7000"));
  CHECK_FALSE(ParseGroupMember(""));
}

TEST_CASE("A killed leader is replaced within two seconds", "[leadership]") {
  World world;
  const int before = world.Leader();
  world.Kill(before);
  world.Run(seconds(2));
  CHECK(world.Leader() >= 0);
  CHECK(world.Leader() != before);
}

TEST_CASE("A silent link between processes is reopened", "[leadership]") {
  World world;
  const int leader = world.Leader();
  const int other = Other(leader);
  SECTION("to the leader") { world.SilenceLink(other, leader); }
  SECTION("from the leader") { world.SilenceLink(leader, other); }
  SECTION("both") {
    world.SilenceLink(other, leader);
    world.SilenceLink(leader, other);
  }
  // Time for both ends to recover.
  world.Run(seconds(12));
  const CallId call = world.Submit(other, kFirst, {Tasks(1)});
  world.Run(seconds(3));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  CHECK(world.Leader() == leader);
}

TEST_CASE("Idle links between processes stay open", "[leadership]") {
  World world;
  world.Run(seconds(30));
  CHECK(world.ReopenedLinks() == 0);
}

/// Whether another process than the former leader comes to lead in time.
bool IsReplaced(StoreWorld& world, int former, Duration time) {
  for (Duration waited{}; waited < time; waited += milliseconds(10)) {
    world.Run(milliseconds(10));
    if (world.Leader() >= 0 && world.Leader() != former) {
      return true;
    }
  }
  return false;
}

TEST_CASE("A leader whose process has ended is replaced at once",
          "[leadership][hand-over]") {
  World world;
  const int before = world.Leader();
  world.KillProcess(before);
  CHECK(IsReplaced(world, before, milliseconds(150)));
}

TEST_CASE(
    "Restarted processes do not wait for the memberships of their former runs",
    "[leadership][hand-over]") {
  World world;
  for (int node = 0; node < 3; ++node) {
    world.Kill(node);
  }
  world.Run(milliseconds(50));
  for (int node = 0; node < 3; ++node) {
    world.Restart(node);
  }
  CHECK(IsReplaced(world, -1, milliseconds(350)));
}

TEST_CASE("A leader that stops is replaced at once",
          "[leadership][hand-over]") {
  World world;
  const int before = world.Leader();
  world.Stop(before);
  CHECK(IsReplaced(world, before, milliseconds(120)));
}

TEST_CASE("A leader that cannot reach the store gives up the leadership",
          "[leadership][hand-over]") {
  World world;
  const int before = world.Leader();
  const int follower = Other(before);
  world.cut_from_store = {before};
  const CallId call = world.Submit(follower, kFirst, {Tasks(1)});
  world.Run(milliseconds(600));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  world.Run(seconds(2));
  CHECK(world.violations.empty());
}

TEST_CASE("A store that is slow or down for all processes moves no leadership",
          "[leadership][hand-over]") {
  World world;
  const int leader = world.Leader();
  const Epoch epoch = world.StateOf(leader).submissions.leadership.epoch;
  SECTION("slow") { world.store_time = milliseconds(450); }
  SECTION("down") { world.store_is_down = true; }
  world.Submit(leader, kFirst, {Tasks(1)});
  world.Run(milliseconds(950));
  CHECK(world.Leader() == leader);
  CHECK(world.StateOf(leader).submissions.leadership.epoch == epoch);
}

TEST_CASE("A worker that does not answer delays only inherited tasks",
          "[leadership][hand-over]") {
  World world;
  world.run_time = seconds(1);
  world.Submit(0, kFirst, {Tasks(2)});
  world.Run(milliseconds(300));
  world.Worker("w4").is_silent = true;
  const int before = world.Leader();
  world.KillProcess(before);
  world.Run(milliseconds(400));
  const CallId call = world.Submit(Other(before), kSecond, {Tasks(1)});
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  CHECK(world.Starts(kSecond) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A leadership that the group moves is taken over at once",
          "[leadership][hand-over]") {
  World world;
  const int before = world.Leader();
  const int next = Other(before);
  // Joins come every 300 ms, those of the two at different times.
  world.Kill(next);
  world.Run(milliseconds(GENERATE(2000, 2070, 2140, 2210, 2280)));
  world.Restart(next);
  world.Run(milliseconds(1700 + GENERATE(0, 60, 120, 180, 240)));
  REQUIRE(world.Leader() == before);
  world.MoveLeadership(next);
  CHECK(IsReplaced(world, before, milliseconds(420)));
}

TEST_CASE(
    "A process that reads the former leader while the leadership moves finds "
    "the next one",
    "[leadership][hand-over]") {
  World world;
  const int before = world.Leader();
  const int next = Other(before);
  const int third = 3 - before - next;
  // The third process asks who leads before the former leader has given up.
  world.Kill(third);
  world.Run(milliseconds(GENERATE(range(2000, 2300, 20))));
  world.Restart(third);
  world.Run(seconds(2));
  REQUIRE(world.Leader() == before);
  world.MoveLeadership(next);
  world.Run(seconds(1));
  REQUIRE(world.Leader() == next);

  const CallId call = world.Submit(third, kFirst, {Tasks(1)});
  world.Run(milliseconds(500));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
}

TEST_CASE("Two lost answers of joins do not end a leadership", "[leadership]") {
  World world;
  const int leader = world.Leader();
  world.lost_joins = 2;
  for (int i = 0; i < 30; ++i) {
    world.Run(milliseconds(100));
    CHECK(world.Leader() == leader);
  }
  CHECK(world.lost_joins == 0);
}

TEST_CASE("A new leader takes over running tasks and starts none twice",
          "[leadership]") {
  World world;
  world.run_time = seconds(4);
  world.Submit(0, kFirst, {Tasks(6)});
  world.Run(milliseconds(500));
  ReplaceLeader(world);
  world.Run(seconds(5));
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  for (std::uint32_t i = 0; i < 6; ++i) {
    CHECK(world.Starts(kFirst, 0, i) == 1);
  }
  CHECK(world.violations.empty());
}

TEST_CASE("Ends that the previous leader did not store count at the next one",
          "[leadership]") {
  World world;
  world.end_of = [](const RunName&) { return RunEnd::kFailed; };
  world.Submit(0, kFirst, {Tasks(1)});
  world.Run(milliseconds(300));
  // From here on nothing is stored, and the second run fails.
  world.store_is_down = true;
  world.Run(milliseconds(300));
  world.Kill(world.Leader());
  world.store_is_down = false;
  world.Run(seconds(8));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kFailed);
  CHECK(world.Starts(kFirst) == 3);
}

TEST_CASE("After an outage, inherited tasks wait for workers to be listed",
          "[leadership]") {
  World world;
  world.run_time = seconds(5);
  world.Submit(0, kFirst, {Tasks(4)});
  world.Run(milliseconds(500));
  world.store_is_down = true;
  world.Run(seconds(2));
  // Every worker entry has expired meanwhile; the workers themselves go on.
  std::vector<std::string> names = {"w1", "w2", "w3", "w4"};
  world.Kill(world.Leader());
  for (const std::string& name : names) {
    world.Worker(name).is_unlisted = true;
  }
  world.store_is_down = false;
  world.Run(milliseconds(1500));
  for (const std::string& name : names) {
    world.Relist(name);
  }
  world.Run(seconds(6));
  CHECK(world.violations.empty());
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
}

TEST_CASE("Lost polls delay a takeover only briefly", "[leadership]") {
  World world;
  world.run_time = seconds(1);
  StepSpec second = Tasks(4);
  second.after = {0};
  world.Submit(0, kFirst, {Tasks(4), second});
  world.Run(milliseconds(900));
  world.Worker("w1").lost_polls = 2;
  ReplaceLeader(world);
  world.Run(milliseconds(500));
  CHECK(world.Starts(kFirst, 1) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("A stopping process gives back a leadership that arrives late",
          "[leadership]") {
  World world;
  const int leaver = world.Leader();
  world.Stop(leaver);
  world.Run(seconds(1));
  REQUIRE(world.Leader() >= 0);
  world.CompleteLateJoin(leaver);
  // Well before the late membership expires, after 1.2 s.
  world.Run(milliseconds(900));
  CHECK(world.Leader() >= 0);
  CHECK(world.Leader() != leaver);
}

TEST_CASE("A worker that is unlisted at a takeover continues its runs",
          "[leadership]") {
  World world;
  world.run_time = seconds(5);
  world.Submit(0, kFirst, {Tasks(4)});
  world.Run(milliseconds(500));
  // The worker is cut off from the store, but both leaders can reach it.
  std::string holder;
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    holder = world.Worker(name).runs.empty() ? holder : name;
  }
  world.Worker(holder).is_unlisted = true;
  ReplaceLeader(world);
  world.Run(seconds(8));
  CHECK(world.violations.empty());
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCompleted);
  for (std::uint32_t i = 0; i < 4; ++i) {
    CHECK(world.Starts(kFirst, 0, i) == 1);
  }
}

TEST_CASE("A worker that left while idle does not delay a takeover",
          "[leadership]") {
  World world;
  // Gives every worker a lease.
  world.Submit(0, kFirst, {Tasks(16)});
  world.Run(seconds(1));
  world.RemoveWorker("w1");
  world.Run(milliseconds(100));
  world.run_time = seconds(2);
  // Twice the capacity of the three workers that stay.
  world.Submit(world.Leader(), kSecond, {Tasks(24)});
  world.Run(milliseconds(500));
  ReplaceLeader(world);
  world.Run(seconds(4));
  CHECK(world.StatusOf(world.Leader(), kSecond) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("A new leader whose first append is not answered still leads",
          "[leadership]") {
  World world;
  world.Kill(world.Leader());
  world.appends_lose_answers = true;
  world.Run(milliseconds(2200));
  world.appends_lose_answers = false;
  world.Run(seconds(1));
  CHECK(world.Leader() >= 0);
}

TEST_CASE("Processes that are cut off from the store follow the next leader",
          "[leadership]") {
  World world;
  const int old_leader = world.Leader();
  const int follower = old_leader == 0 ? 1 : 0;
  world.cut_from_store = {old_leader, follower};
  SECTION("when it is idle") {}
  SECTION("when work waits for the store") {
    world.Submit(old_leader, kThird, {Tasks(1)});
  }
  world.Run(seconds(4));
  for (const int node : {old_leader, follower}) {
    const std::string id = node == follower ? kFirst : kSecond;
    const CallId call = world.Submit(node, id, {Tasks(1)});
    world.Run(seconds(2));
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  }
  CHECK(world.violations.empty());
}

TEST_CASE(
    "A process that is cut off from the store finds a new leader when "
    "its own dies",
    "[leadership]") {
  World world;
  const int follower = world.Leader() == 0 ? 1 : 0;
  world.cut_from_store = {follower};
  world.Run(seconds(1));
  world.Kill(world.Leader());
  world.Run(seconds(4));
  const CallId call = world.Submit(follower, kFirst, {Tasks(1)});
  world.Run(seconds(2));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
}

TEST_CASE("Nothing starts beside an orphan run", "[leadership]") {
  World world;
  world.run_time = seconds(5);
  world.Submit(0, kFirst, {Tasks(12)});
  world.Run(milliseconds(500));
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Worker(name).ignores_stops = true;
    // The workers named by the log answer the poll before they are listed.
    world.Worker(name).is_unlisted = true;
  }
  const CallId cancel =
      world.SendCall(world.Leader(), SubmissionOperation::kCancel, kFirst);
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(cancel));
  ReplaceLeader(world);
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Relist(name);
  }
  world.Submit(world.Leader(), kSecond, {Tasks(16)});
  world.Run(seconds(1));
  // No worker was given more than its capacity.
  CHECK(world.violations.empty());
}

TEST_CASE("An orphan run occupies capacity until it has ended",
          "[leadership]") {
  World world;
  world.run_time = seconds(3);
  world.Submit(0, kFirst, {Tasks(16)});
  world.Run(milliseconds(500));
  const CallId cancel =
      world.SendCall(world.Leader(), SubmissionOperation::kCancel, kFirst);
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    world.Worker(name).ignores_stops = true;
  }
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(cancel));
  ReplaceLeader(world);
  world.Submit(world.Leader(), kSecond, {Tasks(16)});
  world.Run(seconds(6));
  CHECK(world.violations.empty());
  CHECK(world.StatusOf(world.Leader(), kSecond) != SubmissionState::kQueued);
}

}  // namespace
}  // namespace basilspread::test
