#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "basilspread/core/peer_message.h"
#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPrefix = "/plans/";
const std::string kFirst = "0000000000000001";
const std::string kUnknown = "0000000000000002";
/// Both runs of the process number the calls of these tests alike.
constexpr CallId kCall{7777};

SubmissionCallArrived MakeCall(SubmissionOperation operation,
                               const std::string& id) {
  SubmissionCallArrived call;
  call.call = kCall;
  call.operation = operation;
  call.authority = "cluster";
  call.path = kPrefix + id;
  call.time_left = seconds(3);
  return call;
}

int OtherThanLeader(const StoreWorld& world) {
  return world.Leader() == 0 ? 1 : 0;
}

template <std::size_t... kIndices>
void ForEachKind(std::index_sequence<kIndices...> /*indices*/,
                 const std::function<void(PeerMessage)>& visit) {
  (visit(PeerMessage(std::in_place_index<kIndices>)), ...);
}

void ForEachKind(const std::function<void(PeerMessage)>& visit) {
  ForEachKind(std::make_index_sequence<std::variant_size_v<PeerMessage>>(),
              visit);
}

// Guards against an answer to a call of a process that was restarted, which a
// call with the same number gets at its next run.
TEST_CASE("An answer to an earlier run of a process reaches no caller of it",
          "[other-runs]") {
  StoreWorld world(3, {"w1", "w2"}, RelayMode::kOff);
  const int node = OtherThanLeader(world);
  world.run_time = seconds(30);
  world.Submit(node, kFirst, {Tasks(1)});
  world.Run(milliseconds(500));
  // The answer waits until the append is repeated.
  world.lost_appends = 1;
  world.Inject(node, MakeCall(SubmissionOperation::kCancel, kFirst));
  world.Run(milliseconds(50));
  world.KillProcess(node);
  world.Restart(node);
  world.Run(milliseconds(100));
  REQUIRE_FALSE(world.AnswerTo(kCall));
  world.Inject(node, MakeCall(SubmissionOperation::kCancel, kUnknown));
  world.Run(milliseconds(1500));
  REQUIRE(world.AnswerTo(kCall));
  CHECK(world.AnswerTo(kCall)->kind == ErrorKind::kUnknownSubmission);
  CHECK(world.violations.empty());
}

// Guards against orders or calls to a leader that has ended, which the next run
// of its process carries out.
TEST_CASE("A call to an earlier run of a process is declined", "[other-runs]") {
  StoreWorld world(3, {"w1", "w2"}, RelayMode::kOff);
  const int leader = world.Leader();
  const int other = OtherThanLeader(world);
  SubmissionCall call;
  call.call = kCall;
  call.operation = SubmissionOperation::kCancel;
  call.id = SubmissionId{kFirst};
  const ProcessId self = world.StateOf(leader).settings.self;
  world.Inject(leader, PeerReceived{world.StateOf(other).settings.self, call,
                                    self.incarnation + 1});
  world.Run(seconds(1));
  CHECK(world.StateOf(leader).submissions.all.empty());
  CHECK(world.measured.contains(Metric::kMessagesForOtherRuns));
}

// Guards against a new kind of answer or order that any run of its receiver may
// take.
TEST_CASE("Only messages that tell the sender's state are for any run",
          "[other-runs]") {
  std::set<std::string> for_any_run;
  std::set<std::string> names;
  ForEachKind([&](const PeerMessage& message) {
    names.insert(NameOf(message));
    if (!IsForOneRun(message)) {
      for_any_run.insert(NameOf(message));
    }
  });
  CHECK(names.size() == std::variant_size_v<PeerMessage>);
  // The owner of a shard checks that it owns it, whichever run it is.
  CHECK(for_any_run == std::set<std::string>{"heartbeat", "forward-request",
                                             "helper-report", "leader-report"});
  LeaderReport acknowledgement;
  acknowledgement.ack.epoch = Epoch{1};
  CHECK(IsForOneRun(acknowledgement));
}

// Guards against a kind of message that is handled though it is for another
// run.
TEST_CASE("Messages for another run are dropped, whatever their kind",
          "[other-runs]") {
  ForEachKind([](const PeerMessage& message) {
    StoreWorld world(3, {"w1"}, RelayMode::kOff);
    const int leader = world.Leader();
    const int other = OtherThanLeader(world);
    const ProcessId self = world.StateOf(leader).settings.self;
    world.measured.clear();
    world.Inject(leader, PeerReceived{world.StateOf(other).settings.self,
                                      message, self.incarnation + 1});
    world.Run(milliseconds(50));
    INFO(NameOf(message));
    CHECK(world.measured.contains(Metric::kMessagesForOtherRuns));
    CHECK_FALSE(world.measured.contains(Metric::kHandlingErrors));
  });
}

// Guards against a leader of a version that names no run, and against calls of
// two runs with the same number.
TEST_CASE("Calls of different runs of a process have different numbers",
          "[other-runs]") {
  const CallId first = CallBeforeFirst(0x1234'5678'9abc'def0);
  const CallId second = CallBeforeFirst(0x1234'5678'9abc'def1);
  CHECK(first.value != second.value);
  CHECK((first.value & 0xffff'ffff) == 0);
  CHECK(first.value >> 63U == 0);
  CHECK(CallBeforeFirst(~std::uint64_t{0}).value >> 63U == 0);
}

}  // namespace
}  // namespace basilspread::test
