#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000d1";
const std::string kSecond = "00000000000000d2";
const std::string kNoAdvice = "/previews/";
constexpr int kNodes = 4;

struct World : StoreWorld {
  explicit World(int nodes = kNodes)
      : StoreWorld(nodes, {"w1", "w2", "w3", "w4"}, RelayMode::kOff) {
    REQUIRE(this->Leader() >= 0);
  }
  const LeadershipState& Leadership(int node) const {
    return this->StateOf(node).submissions.leadership;
  }
  bool Leads(int node) const {
    return this->Leadership(node).phase == LeaderPhase::kLeading;
  }
  void FinishRunsOn(const std::string& name) {
    for (auto& [task, run] : this->Worker(name).runs) {
      run.ends_at = this->Now();
    }
  }
  double Seconds() const {
    return std::chrono::duration<double>(this->Now().time_since_epoch())
        .count();
  }
  void CheckNoViolation() const {
    for (const std::string& violation : this->violations) {
      UNSCOPED_INFO(violation);
    }
    CHECK(this->violations.empty());
  }
};

TEST_CASE(
    "A witness that has turned to the next leader does not return to the "
    "former one by a restart",
    "[leadership][proof]") {
  World world;
  const int former = world.Leader();
  const int next = (former + 1) % kNodes;
  const int witness = (former + 2) % kNodes;
  const int other = (former + 3) % kNodes;
  world.run_time = seconds(60);
  world.Submit(former, kFirst, {Tasks(16)}, kNoAdvice);
  world.Run(seconds(1));
  REQUIRE(world.Worker("w1").runs.size() == 4);
  world.Kill(next);
  world.Run(seconds(14));
  REQUIRE(world.Leader() == former);
  // Only the former leader reaches w1, and it reaches no other worker.
  for (int node = 0; node < kNodes; ++node) {
    if (node != former) {
      world.cut_from_worker.insert({node, HostName{"w1"}});
    }
  }
  for (const std::string name : {"w2", "w3", "w4"}) {
    world.cut_from_worker.insert({former, HostName{name}});
  }
  // The former leader with its witnesses on one side, a new process and the
  // store on the other.
  world.cut_from_store = {former, witness, other};
  for (const int node : {former, witness, other}) {
    world.CutLink(node, next);
  }
  world.Restart(next);
  for (int i = 0; i < 200 && !world.Leads(next); ++i) {
    world.Run(milliseconds(20));
  }
  REQUIRE(world.Leads(next));
  world.Run(milliseconds(500));
  const auto has_evidence = [&] {
    const auto& by = world.Leadership(witness).acknowledged_by;
    return !by.empty() && world.Now() - by.begin()->second < seconds(2);
  };
  for (int i = 0; i < 1000 && !has_evidence(); ++i) {
    world.Run(milliseconds(5));
  }
  REQUIRE(has_evidence());
  // The witness changes sides.
  world.CutLink(witness, former);
  world.CutLink(witness, other);
  world.HealLink(witness, next);
  world.cut_from_store.erase(witness);
  const NodeName former_name = world.StateOf(former).settings.self.node;
  const auto has_ended = [&] {
    const auto& predecessors = world.Leadership(next).predecessors;
    const auto found = predecessors.find(former_name);
    return found != predecessors.end() && found->second.ended_at.has_value();
  };
  for (int i = 0; i < 200 && !has_ended(); ++i) {
    world.Run(milliseconds(20));
  }
  const auto describe = [&](int node) {
    const auto& state = world.Leadership(node);
    std::string text = "node " + std::to_string(node) + " phase " +
                       NameOf(state.phase) + " leader " +
                       (state.leader ? state.leader->process.node.value : "-") +
                       " highest " + std::to_string(state.highest_epoch.value);
    for (const auto& [name, predecessor] : state.predecessors) {
      text += " predecessor " + name.value;
    }
    return text;
  };
  for (int node = 0; node < kNodes; ++node) {
    UNSCOPED_INFO(describe(node));
  }
  REQUIRE(has_ended());
  UNSCOPED_INFO("evidence at " << world.Seconds());
  // Its process restarts, and it changes sides again.
  world.Kill(witness);
  world.cut_from_store.insert(witness);
  world.CutLink(witness, next);
  world.HealLink(witness, former);
  world.HealLink(witness, other);
  world.Run(milliseconds(200));
  world.Restart(witness);
  world.Run(seconds(1));
  world.FinishRunsOn("w2");
  world.FinishRunsOn("w3");
  world.FinishRunsOn("w4");
  for (int i = 0; i < 12; ++i) {
    world.Run(seconds(1));
    const auto& proof = world.Leadership(former).proof;
    UNSCOPED_INFO(
        "at " << world.Seconds() << " former leads " << world.Leads(former)
              << " next leads " << world.Leads(next) << " runs on w1 "
              << world.Worker("w1").runs.size() << " witness proof age "
              << (proof.witnesses_confirmed_at
                      ? std::chrono::duration<double>(
                            world.Now() - *proof.witnesses_confirmed_at)
                            .count()
                      : -1.0));
  }
  world.CheckNoViolation();
}

TEST_CASE(
    "A run on a worker that was idle for long ends one longest lease after the "
    "proof although its clock is slow",
    "[leadership][proof]") {
  const double clock_rate = GENERATE(0.98, 1.0);
  World world;
  const int former = world.Leader();
  // One worker stays idle for long. The second step can start only when the
  // first one has ended.
  world.run_time = seconds(150);
  StepSpec second = Tasks(6);
  second.after = {0};
  world.Submit(former, kSecond, {Tasks(4), second}, kNoAdvice);
  world.Run(milliseconds(200));
  std::string partial;
  for (const std::string name : {"w1", "w2", "w3", "w4"}) {
    partial = world.Worker(name).runs.empty() ? partial : name;
  }
  REQUIRE(world.Worker(partial).runs.size() == 4);
  world.run_time = seconds(200);
  world.Submit(former, kFirst, {Tasks(8)}, kNoAdvice);
  world.Run(milliseconds(300));
  std::string idle;
  for (const std::string name : {"w1", "w2", "w3", "w4"}) {
    idle = world.Worker(name).runs.empty() ? name : idle;
  }
  REQUIRE_FALSE(idle.empty());
  world.Worker(idle).clock_rate = clock_rate;
  world.Run(seconds(150) - milliseconds(500 + 2450));
  REQUIRE(world.Leader() == former);
  REQUIRE(world.Worker(idle).runs.empty());
  world.run_time = seconds(200);
  world.cut_from_store = {former};
  for (int node = 0; node < kNodes; ++node) {
    if (node != former) {
      world.CutLink(former, node);
      world.cut_from_worker.insert({node, HostName{idle}});
      world.cut_from_worker.insert({node, HostName{partial}});
    }
  }
  for (const std::string name : {"w1", "w2", "w3", "w4"}) {
    if (name != idle && name != partial) {
      world.cut_from_worker.insert({former, HostName{name}});
    }
  }
  const TimePoint cut_at = world.Now();
  const auto since_cut = [&] {
    return std::chrono::duration<double>(world.Now() - cut_at).count();
  };
  std::optional<double> started;
  std::optional<double> gone;
  for (int i = 0; i < 3000; ++i) {
    world.Run(milliseconds(5));
    const bool runs = !world.Worker(idle).runs.empty();
    if (runs && !started) {
      started = since_cut();
      // The next leader reaches all workers but this one.
      for (int node = 0; node < kNodes; ++node) {
        world.cut_from_worker.erase({node, HostName{partial}});
      }
      for (const std::string name : {"w1", "w2", "w3", "w4"}) {
        if (name != idle && name != partial) {
          world.FinishRunsOn(name);
        }
      }
    }
    if (started && !runs && !gone) {
      gone = since_cut();
    }
  }
  REQUIRE(started);
  REQUIRE(gone);
  UNSCOPED_INFO("rate " << clock_rate << ": run on the idle worker from "
                        << *started << " s to " << *gone << " s after the cut");
  // The proof is no younger than the cut.
  CHECK(*gone <= 6.62);
  world.CheckNoViolation();
}

TEST_CASE("An append that began before a suspension proves nothing after it",
          "[leadership][proof]") {
  World world;
  const int leader = world.Leader();
  world.Submit(leader, kFirst, {Tasks(1)}, kNoAdvice);
  for (int i = 0; i < 20; ++i) {
    world.Run(milliseconds(5));
    if (world.StateOf(leader).submissions.log.in_flight) {
      break;
    }
  }
  world.Run(milliseconds(5));
  REQUIRE(world.StateOf(leader).submissions.log.in_flight);
  const TimePoint began = world.StateOf(leader).submissions.log.in_flight_since;
  world.Inject(leader, Resumed{seconds(60)});
  // Nothing else is known about the store from here on.
  world.cut_from_store = {leader};
  const TimePoint resumed_at = world.Leadership(leader).proof.valid_from;
  CHECK_FALSE(world.Leadership(leader).proof.store);
  world.Run(milliseconds(20));
  const auto& store = world.Leadership(leader).proof.store;
  UNSCOPED_INFO("append began " << (resumed_at - began).count()
                                << " ns before the resumption");
  CHECK_FALSE((store && *store <= resumed_at));
}

TEST_CASE(
    "An acknowledgement of a report from before a suspension makes no witness",
    "[leadership][proof]") {
  World world;
  const int leader = world.Leader();
  const int helper = (leader + 1) % kNodes;
  const NodeName name = world.StateOf(helper).settings.self.node;
  world.delivery_delay[helper] = milliseconds(300);
  const auto heard_at = [&] {
    return world.Leadership(leader).proof.witnesses.at(name).heard_at;
  };
  const TimePoint before = heard_at();
  for (int i = 0; i < 400 && heard_at() == before; ++i) {
    world.Run(milliseconds(5));
  }
  REQUIRE(heard_at() != before);
  // The acknowledgement is under way; the process is suspended and resumes.
  world.Inject(helper, Resumed{seconds(60)});
  const TimePoint resumed_at = world.Leadership(helper).proof.valid_from;
  REQUIRE(resumed_at == world.Now());
  REQUIRE(world.Leadership(helper).acknowledged_by.empty());
  world.Run(milliseconds(400));
  for (const auto& [process, sent_at] :
       world.Leadership(helper).acknowledged_by) {
    CHECK(sent_at >= resumed_at);
  }
}

TEST_CASE(
    "A query of the peers does not undo the proof of having been a "
    "witness",
    "[leadership][proof]") {
  World world;
  const int leader = world.Leader();
  const int helper = (leader + 1) % kNodes;
  const auto& by = world.Leadership(helper).acknowledged_by;
  REQUIRE(by.size() == 1);
  world.store_is_down = true;
  int lost = 0;
  for (int i = 0; i < 800; ++i) {
    world.Run(milliseconds(5));
    for (const auto& [process, sent_at] : by) {
      lost += world.Now() - sent_at > seconds(10) ? 1 : 0;
    }
    lost += by.empty() ? 1 : 0;
  }
  UNSCOPED_INFO("looked 800 times, without evidence " << lost << " times");
  CHECK(lost == 0);
}

TEST_CASE(
    "The record of an ended leader is removed although an append is "
    "refused",
    "[leadership][proof]") {
  const bool refuses = GENERATE(true, false);
  CAPTURE(refuses);
  World world;
  const int former = world.Leader();
  world.KillProcess(former);
  world.Run(seconds(3));
  const int next = world.Leader();
  REQUIRE(next >= 0);
  const NodeName former_name = world.StateOf(former).settings.self.node;
  REQUIRE(world.Leadership(next).predecessors.contains(former_name));
  for (int i = 0;
       i < 10000 && world.Leadership(next).predecessors.contains(former_name);
       ++i) {
    world.appends_are_refused = refuses;
    world.Run(milliseconds(5));
  }
  REQUIRE_FALSE(world.Leadership(next).predecessors.contains(former_name));
  world.Run(milliseconds(200));
  world.appends_are_refused = false;
  world.Run(seconds(5));
  world.KillProcess(next);
  world.Run(seconds(5));
  const int third = world.Leader();
  REQUIRE(third >= 0);
  CHECK_FALSE(world.Leadership(third).predecessors.contains(former_name));
}

TEST_CASE(
    "Accepted work goes on in an outage of the store for all after a process "
    "has stopped",
    "[leadership][proof]") {
  const int gap = GENERATE(2, 20);
  const bool stops = GENERATE(true, false);
  CAPTURE(gap, stops);
  World world;
  const int leader = world.Leader();
  world.run_time = seconds(60);
  world.Submit(leader, kFirst, {Tasks(4)}, kNoAdvice);
  world.Run(seconds(1));
  if (stops) {
    world.Stop((leader + 1) % kNodes);
    world.Run(seconds(1));
    world.KillProcess((leader + 1) % kNodes);
  }
  world.Run(seconds(gap));
  world.store_is_down = true;
  world.Run(seconds(15));
  std::size_t runs = 0;
  for (const std::string name : {"w1", "w2", "w3", "w4"}) {
    runs += world.Worker(name).runs.size();
  }
  CHECK(runs == 4);
  world.CheckNoViolation();
}

TEST_CASE("A change of the group during the takeover has to be verified",
          "[leadership][proof]") {
  World world;
  const int former = world.Leader();
  const int slow = (former + 1) % kNodes;
  const int next = (former + 2) % kNodes;
  world.MoveLeadership(slow);
  for (int i = 0;
       i < 400 && world.Leadership(slow).phase != LeaderPhase::kFencing; ++i) {
    world.Run(milliseconds(5));
  }
  REQUIRE(world.Leadership(slow).phase == LeaderPhase::kFencing);
  // In the simulation the append was sent without a delay of its answer; hold
  // everything that the process would hear.
  world.Freeze(slow);
  for (int node = 0; node < kNodes; ++node) {
    if (node != slow) {
      world.CutLink(slow, node);
    }
  }
  world.Run(milliseconds(12));
  world.cut_from_store = {slow};
  world.CompleteLateJoin(next);
  for (int i = 0; i < 200 && !world.Leads(next); ++i) {
    world.Run(milliseconds(5));
  }
  REQUIRE(world.Leads(next));
  const TimePoint next_led_at = world.Now();
  const std::uint64_t generation = world.Leadership(next).generation;
  world.cut_from_store = {slow, next};
  // The group names the slow process again; of the answers that it gets, that
  // to a join is the first.
  GroupJoined joined;
  joined.ok = true;
  joined.leads = true;
  joined.generation = generation + 2;
  joined.sent_at = next_led_at;
  const auto epoch = world.Leadership(slow).epoch;
  UNSCOPED_INFO("epochs " << epoch.value << " and "
                          << world.Leadership(next).epoch.value);
  REQUIRE(epoch < world.Leadership(next).epoch);
  world.InjectNow(slow, joined);
  world.Thaw(slow);
  // Before a worker that the other one has polled refuses this one's fence.
  REQUIRE(world.Leadership(slow).phase == LeaderPhase::kLoading);
  joined.sent_at = world.Now();
  world.InjectNow(slow, joined);
  const auto& proof = world.Leadership(slow).proof;
  UNSCOPED_INFO("phase " << NameOf(world.Leadership(slow).phase));
  CHECK(proof.unverified_since);
  CHECK_FALSE((proof.store && *proof.store >= next_led_at));
}

}  // namespace
}  // namespace basilspread::test
