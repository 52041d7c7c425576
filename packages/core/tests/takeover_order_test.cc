#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// By its id, the newer one would come first.
const std::string kOlder = "00000000000000c2";
const std::string kNewer = "00000000000000c1";

/// No worker has the label, so that it waits.
StepSpec NeverPlaced() {
  StepSpec step = Tasks(1);
  step.required_label = "none";
  return step;
}

const Submission& Find(const StoreWorld& world, const std::string& id) {
  const int leader = world.Leader();
  REQUIRE(leader >= 0);
  return *world.StateOf(leader).submissions.all.at(SubmissionId{id});
}

Duration AgeOf(const StoreWorld& world, const std::string& id) {
  return world.Now() - Find(world, id).arrived;
}

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2"}) { REQUIRE(this->Leader() >= 0); }

  void SubmitBoth() {
    this->Submit(0, kOlder, {NeverPlaced()});
    this->Run(seconds(1));
    this->Submit(0, kNewer, {NeverPlaced()});
    this->Run(seconds(1));
  }

  void ChangeLeader() {
    const int former = this->Leader();
    this->KillProcess(former);
    this->Run(seconds(2));
    REQUIRE(this->Leader() >= 0);
    REQUIRE(this->Leader() != former);
  }
};

TEST_CASE("A submission does not lose its place in the order by a takeover",
          "[takeover-order]") {
  World world;
  world.SubmitBoth();
  world.ChangeLeader();
  world.ChangeLeader();
  CHECK(AgeOf(world, kOlder) >= seconds(6));
  CHECK(AgeOf(world, kOlder) <= milliseconds(6100));
  CHECK(AgeOf(world, kNewer) >= seconds(5));
  REQUIRE(Find(world, kOlder).queued_as);
  REQUIRE(Find(world, kNewer).queued_as);
  CHECK(*Find(world, kOlder).queued_as < *Find(world, kNewer).queued_as);
}

TEST_CASE("Clocks that differ make an age wrong by their difference at most",
          "[takeover-order]") {
  const auto error = GENERATE(milliseconds(-300), milliseconds(300));
  World world;
  world.clock_errors[world.Leader()] = error;
  world.SubmitBoth();
  world.ChangeLeader();
  CHECK(AgeOf(world, kOlder) >= seconds(4) - milliseconds(300));
  CHECK(AgeOf(world, kOlder) <= seconds(4) + milliseconds(400));
  REQUIRE(Find(world, kOlder).queued_as);
  REQUIRE(Find(world, kNewer).queued_as);
  // One of them may be late beyond use already, and goes behind for that.
  CHECK(Find(world, kOlder).queued_as->latest_start <
        Find(world, kNewer).queued_as->latest_start);
}

TEST_CASE("No clock makes a submission arrive after it was taken over",
          "[takeover-order]") {
  World world;
  world.clock_errors[world.Leader()] = std::chrono::hours(24);
  world.SubmitBoth();
  world.ChangeLeader();
  CHECK(AgeOf(world, kOlder) >= Duration::zero());
  CHECK(AgeOf(world, kOlder) <= seconds(2));
}

TEST_CASE("A record that tells no arrival counts from the takeover",
          "[takeover-order]") {
  World world;
  const boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
  spec->id = SubmissionId{kOlder};
  spec->route = RouteName{"plans"};
  spec->steps = {NeverPlaced()};
  QueuePolicy policy;
  policy.pool = PoolName{"pool"};
  world.Keep(AcceptedRecord{spec, policy});
  world.ChangeLeader();
  CHECK(AgeOf(world, kOlder) >= Duration::zero());
  CHECK(AgeOf(world, kOlder) <= seconds(2));
}

TEST_CASE("A suspension of the leader's host counts into the age",
          "[takeover-order]") {
  World world;
  world.SubmitBoth();
  world.Suspend(world.Leader(), seconds(4));
  world.Run(milliseconds(10));
  CHECK(AgeOf(world, kOlder) >= seconds(6));
  CHECK(AgeOf(world, kOlder) <= milliseconds(6100));
  CHECK(*Find(world, kOlder).queued_as < *Find(world, kNewer).queued_as);
}

}  // namespace
}  // namespace basilspread::test
