#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "00000000000000a1";
const std::string kSecond = "00000000000000a2";

struct World : StoreWorld {
  World() : StoreWorld(3, {"w1", "w2", "w3", "w4"}) {
    REQUIRE(this->Leader() >= 0);
  }
};

int Follower(const StoreWorld& world) { return world.Leader() == 0 ? 1 : 0; }

bool IsOk(const StoreWorld& world, CallId call) {
  const auto answer = world.AnswerTo(call);
  return answer && answer->kind == ErrorKind::kNone;
}

TEST_CASE("A submission completes at any process", "[submissions]") {
  World world;
  StepSpec second = Tasks(3);
  second.after = {0};
  const CallId call = world.Submit(Follower(world), kFirst, {Tasks(5), second});
  world.Run(seconds(2));
  CHECK(IsOk(world, call));
  CHECK(world.StatusOf(Follower(world), kFirst) == SubmissionState::kCompleted);
  for (std::uint32_t i = 0; i < 5; ++i) {
    CHECK(world.Starts(kFirst, 0, i) == 1);
  }
  CHECK(world.Starts(kFirst, 1, 2) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("Submissions with the same id at several processes run once",
          "[submissions]") {
  World world;
  for (int node = 0; node < 3; ++node) {
    world.Submit(node, kFirst, {Tasks(1)});
  }
  world.Run(seconds(1));
  const CallId again = world.Submit(1, kFirst, {Tasks(1)});
  world.Run(seconds(1));
  CHECK(IsOk(world, again));
  CHECK(world.Starts(kFirst) == 1);
}

TEST_CASE("A gang starts as a whole", "[submissions]") {
  World world;
  StepSpec gang = Tasks(12);
  gang.gang = true;
  world.run_time = seconds(1);
  world.Submit(0, kSecond, {Tasks(8)});
  world.Run(milliseconds(300));
  world.Submit(0, kFirst, {gang});
  world.Run(milliseconds(500));
  CHECK(world.Starts(kFirst, 0, 0) == 0);
  world.Run(seconds(4));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kCompleted);
  CHECK(world.violations.empty());
}

TEST_CASE("A submission fails once a task has used up its attempts",
          "[submissions]") {
  World world;
  world.end_of = [](const RunName& name) {
    return name.task.submission.value == kFirst ? RunEnd::kFailed
                                                : RunEnd::kSucceeded;
  };
  SECTION("a single task") { world.Submit(0, kFirst, {Tasks(1)}); }
  SECTION("a gang") {
    StepSpec gang = Tasks(2);
    gang.gang = true;
    world.Submit(0, kFirst, {gang});
  }
  world.Run(seconds(3));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kFailed);
  CHECK(world.Starts(kFirst) == 3);
}

TEST_CASE("Only workers that the advisor allows are used", "[submissions]") {
  World world;
  world.is_allowed = [](const HostName& worker) {
    return worker.value == "w3";
  };
  world.run_time = seconds(1);
  world.Submit(0, kFirst, {Tasks(4)});
  world.Run(milliseconds(700));
  CHECK(world.Worker("w3").runs.size() == 4);
}

TEST_CASE("Steps that find no room do not query the advisor repeatedly",
          "[submissions]") {
  World world;
  world.run_time = seconds(20);
  world.Submit(0, kFirst, {Tasks(12)});
  world.Run(milliseconds(500));
  const int before = world.AdviceQueries();
  for (int i = 0; i < 40; ++i) {
    world.Submit(0, "00000000000001" + std::to_string(10 + i), {Tasks(4)});
  }
  world.Run(seconds(5));
  // There is room for one of the submissions.
  CHECK(world.AdviceQueries() <= before + 2);
}

TEST_CASE("Unsupported features are rejected with their name",
          "[submissions]") {
  World world;
  StepSpec first = Tasks(1);
  StepSpec second = Tasks(1);
  second.after = {0};
  UnsupportedFeature expected = UnsupportedFeature::kNone;
  SECTION("steps on idle processor time") {
    second.fills_idle_cpu = true;
    expected = UnsupportedFeature::kIdleCpu;
  }
  SECTION("a gang of long-running tasks") {
    second.long_running = true;
    second.gang = true;
    expected = UnsupportedFeature::kLongRunningGang;
  }
  SECTION("a step after a long-running one") {
    first.long_running = true;
    expected = UnsupportedFeature::kAfterLongRunning;
  }
  const CallId call = world.Submit(0, kFirst, {first, second});
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNotSupported);
  CHECK(world.AnswerTo(call)->unsupported == expected);
  // A retry would be rejected too.
  CHECK_FALSE(AnswerFor(ErrorKind::kNotSupported).retryable);
  CHECK(AnswerFor(ErrorKind::kNotSupported).http_status == 400);
}

TEST_CASE("A cancellation is answered once its own record is stored",
          "[submissions]") {
  World world;
  world.run_time = milliseconds(100);
  StepSpec second = Tasks(1);
  second.after = {0};
  world.Submit(world.Leader(), kFirst, {Tasks(1), second});
  while (world.Starts(kFirst, 1, 0) == 0) {
    world.Run(milliseconds(5));
  }
  // The append with the first step's success is in flight.
  const CallId cancel =
      world.SendCall(world.Leader(), SubmissionOperation::kCancel, kFirst);
  while (!world.AnswerTo(cancel)) {
    world.Run(milliseconds(5));
  }
  CHECK(IsOk(world, cancel));
  world.Kill(world.Leader());
  world.Run(seconds(6));
  REQUIRE(world.Leader() >= 0);
  CHECK(world.StatusOf(world.Leader(), kFirst) == SubmissionState::kCancelled);
}

/// Submits at a paused process and cancels at the leader, which has not seen
/// the submission.
struct EarlyCancelWorld : World {
  EarlyCancelWorld() {
    this->paused = Follower(*this);
    this->Freeze(this->paused);
    this->submit = this->Submit(this->paused, kFirst, {Tasks(1)});
    this->cancel =
        this->SendCall(this->Leader(), SubmissionOperation::kCancel, kFirst);
    this->Run(milliseconds(200));
  }

  int paused = 0;
  CallId submit;
  CallId cancel;
};

// The leader acknowledged the cancel of an id that it did not know, and
// accepted the submission when a paused process passed it on later.
TEST_CASE("A submission that arrives after its cancellation is rejected",
          "[submissions]") {
  EarlyCancelWorld world;
  REQUIRE(world.AnswerTo(world.cancel));
  CHECK(world.AnswerTo(world.cancel)->kind == ErrorKind::kUnknownSubmission);
  SECTION("the leader is the same") {}
  SECTION("another process leads") {
    world.Kill(world.Leader());
    world.Run(seconds(4));
    REQUIRE(world.Leader() >= 0);
  }
  world.Thaw(world.paused);
  world.Run(seconds(2));
  REQUIRE(world.AnswerTo(world.submit));
  CHECK(world.AnswerTo(world.submit)->kind == ErrorKind::kCancelled);
  CHECK(world.Starts(kFirst) == 0);
  // Nobody has submitted it successfully, so it has no state.
  CHECK_FALSE(world.StatusOf(world.Leader(), kFirst));
  const CallId again =
      world.SendCall(world.Leader(), SubmissionOperation::kCancel, kFirst);
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(again));
  CHECK(world.AnswerTo(again)->kind == ErrorKind::kUnknownSubmission);
}

TEST_CASE("The cancel of an unknown submission is acknowledged once stored",
          "[submissions]") {
  World world;
  world.appends_lose_answers = true;
  const CallId cancel =
      world.SendCall(world.Leader(), SubmissionOperation::kCancel, kFirst);
  world.Run(milliseconds(600));
  CHECK_FALSE(world.AnswerTo(cancel));
  const CallId submit = world.Submit(world.Leader(), kFirst, {Tasks(1)});
  world.Run(milliseconds(100));
  CHECK_FALSE(world.AnswerTo(submit));
  world.appends_lose_answers = false;
  world.Run(seconds(1));
  REQUIRE(world.AnswerTo(cancel));
  CHECK(world.AnswerTo(cancel)->kind == ErrorKind::kUnknownSubmission);
  REQUIRE(world.AnswerTo(submit));
  CHECK(world.AnswerTo(submit)->kind == ErrorKind::kCancelled);
  CHECK(world.Starts(kFirst) == 0);
}

TEST_CASE("An append whose response is lost is settled by a retry",
          "[submissions]") {
  World world;
  world.appends_lose_answers = true;
  const CallId call = world.Submit(Follower(world), kFirst, {Tasks(1)});
  world.Run(milliseconds(900));
  CHECK_FALSE(world.AnswerTo(call));
  world.appends_lose_answers = false;
  world.Run(seconds(2));
  CHECK(IsOk(world, call));
  CHECK(world.StatusOf(0, kFirst) == SubmissionState::kCompleted);
  CHECK(world.Starts(kFirst) == 1);
}

TEST_CASE("An append whose response is lost delays a submission only briefly",
          "[submissions]") {
  World world;
  world.lost_appends = 1;
  const CallId call = world.Submit(Follower(world), kFirst, {Tasks(1)});
  // A tenth of the caller's time-out.
  world.Run(milliseconds(300));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  world.Run(seconds(2));
  CHECK(world.Starts(kFirst) == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("Submissions that arrive while the store is down are not run",
          "[submissions]") {
  World world;
  world.store_is_down = true;
  const int node = Follower(world);
  world.Submit(node, kFirst, {Tasks(1)});
  world.Run(milliseconds(100));
  const CallId behind = world.Submit(node, kSecond, {Tasks(1)});
  world.Run(milliseconds(1200));
  // Early enough for the caller to retry.
  REQUIRE(world.AnswerTo(behind));
  CHECK(world.AnswerTo(behind)->kind == ErrorKind::kLogUnavailable);
  world.store_is_down = false;
  world.Run(seconds(5));
  CHECK(world.Starts(kSecond) == 0);
  CHECK(world.violations.empty());
}

TEST_CASE("A submission whose append is refused is reported as not run",
          "[submissions]") {
  World world;
  world.appends_are_refused = true;
  const CallId call = world.Submit(Follower(world), kFirst, {Tasks(1)});
  world.Run(milliseconds(200));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kLogUnavailable);
  CHECK(world.AnswerTo(call)->retry_after > Duration::zero());
  world.appends_are_refused = false;
  world.Run(seconds(3));
  CHECK(world.Starts(kFirst) == 0);
}

TEST_CASE("A submission that may be stored is reported with an unknown outcome",
          "[submissions]") {
  World world;
  world.store_is_down = true;
  const CallId call = world.Submit(Follower(world), kFirst, {Tasks(1)});
  world.Run(seconds(4));
  REQUIRE(world.AnswerTo(call));
  CHECK(world.AnswerTo(call)->kind == ErrorKind::kOutcomeUnknown);
}

/// Answer of a process to the question how many submissions wait.
std::uint32_t WaitingAt(World& world, int node) {
  const CallId call = world.SendCall(node, SubmissionOperation::kStatus, "");
  world.Run(milliseconds(20));
  const auto answer = world.AnswerTo(call);
  REQUIRE(answer);
  REQUIRE(answer->kind == ErrorKind::kNone);
  return answer->waiting;
}

TEST_CASE("The waiting submissions of a route are counted", "[submissions]") {
  World world;
  world.run_time = seconds(1);
  StepSpec whole = Tasks(16);
  world.Submit(0, kFirst, {whole});
  world.Run(milliseconds(100));
  CHECK(WaitingAt(world, 0) == 0);
  for (const char* id :
       {"00000000000000b1", "00000000000000b2", "00000000000000b3"}) {
    world.Submit(1, id, {whole});
  }
  world.Run(milliseconds(100));
  CHECK(WaitingAt(world, 2) == 3);
  world.SendCall(0, SubmissionOperation::kCancel, "00000000000000b2");
  world.Run(milliseconds(100));
  CHECK(WaitingAt(world, 0) == 2);
  world.KillProcess(world.Leader());
  world.Run(milliseconds(400));
  REQUIRE(world.Leader() >= 0);
  CHECK(WaitingAt(world, world.Leader()) <= 3);
  world.Run(seconds(8));
  CHECK(WaitingAt(world, world.Leader()) == 0);
}

/// Time to answer 2,000 calls that count the waiting submissions while this
/// many have ended.
double CountTime(int ended) {
  World world;
  for (int i = 0; i < ended; ++i) {
    world.AddLogRecord(ProgressRecord{SubmissionId{std::to_string(1000000 + i)},
                                      SubmissionState::kCompleted,
                                      {}});
  }
  world.KillProcess(world.Leader());
  world.Run(seconds(1));
  REQUIRE(world.Leader() >= 0);
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 2000; ++i) {
    world.SendCall(world.Leader(), SubmissionOperation::kStatus, "");
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  return took.count();
}

// Each such call visited all submissions of the last minutes, a fifth of the
// work of a leader of a large site.
TEST_CASE("The cost of counting does not depend on submissions that ended",
          "[submissions]") {
  CHECK(CountTime(20'000) < 10 * CountTime(20));
}

TEST_CASE("A stopping process answers every caller", "[submissions]") {
  World world;
  const int node = Follower(world);
  world.Stop(node);
  world.store_is_down = true;
  const CallId early = world.Submit(node, kFirst, {Tasks(1)});
  world.Run(milliseconds(2500));
  const CallId late = world.Submit(node, kSecond, {Tasks(1)});
  REQUIRE(world.AnswerTo(late));
  CHECK(world.AnswerTo(late)->kind == ErrorKind::kStopping);
  // The call is answered before the stop grace expires.
  world.Run(milliseconds(3000));
  CHECK(world.AnswerTo(early));
}

TEST_CASE("Without store and leader callers are refused immediately",
          "[submissions]") {
  World world;
  const int follower = Follower(world);
  world.store_is_down = true;
  world.KillProcess(world.Leader());
  world.Run(seconds(3));
  for (int i = 0; i < 3; ++i) {
    const CallId call = world.Submit(
        follower, "00000000000000e" + std::to_string(i), {Tasks(1)});
    world.Run(milliseconds(100));
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->kind == ErrorKind::kNoLeader);
    CHECK(world.AnswerTo(call)->retry_after >= seconds(1));
    world.Run(milliseconds(700));
  }

  SECTION("and served once the store is back") {
    world.store_is_down = false;
    world.Run(seconds(2));
    const CallId call = world.Submit(follower, kFirst, {Tasks(1)});
    world.Run(milliseconds(200));
    CHECK(IsOk(world, call));
  }
}

TEST_CASE("Every metric of a submission is recorded",
          "[submissions][metrics]") {
  World world;
  world.Submit(Follower(world), kFirst, {Tasks(2)});
  world.Run(seconds(2));
  for (const Metric metric :
       {Metric::kCalls, Metric::kCallTime, Metric::kAcceptTime,
        Metric::kAdviceTime, Metric::kFirstStartWait, Metric::kRunsStarted,
        Metric::kRunsEnded, Metric::kSubmissionsEnded, Metric::kSubmissionTime,
        Metric::kTakeovers, Metric::kTakeoverTime, Metric::kQueueLength,
        Metric::kWorkersUsable, Metric::kTablesVersion, Metric::kIsLeading}) {
    CAPTURE(InfoOf(metric).name);
    CHECK(world.measured.contains(metric));
  }
}

}  // namespace
}  // namespace basilspread::test
