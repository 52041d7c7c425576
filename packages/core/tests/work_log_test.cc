#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "basilspread/core/limits.h"
#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::seconds;

/// Largest append that the store accepts.
constexpr std::size_t kMaxAppendBytes = std::size_t{2} << 20U;

struct World : StoreWorld {
  World() : StoreWorld(1, {"w1", "w2"}) { REQUIRE(this->Leader() >= 0); }
};

std::string Id(int number) { return fmt::format("{:016x}", number); }

/// The steps of the largest submission that is accepted; its tasks never start.
std::vector<StepSpec> LargestSteps() {
  const std::string name(limits::kMaxNameBytes, 'x');
  std::vector<StepSpec> steps;
  for (std::uint32_t i = 0; i < limits::kMaxSteps; ++i) {
    StepSpec step = Tasks(1);
    step.required_label = name;
    step.data_rack = RackName{name};
    step.image = name;
    for (std::uint32_t earlier = 0; earlier < i; ++earlier) {
      step.after.push_back(earlier);
    }
    steps.push_back(step);
  }
  return steps;
}

TEST_CASE(
    "Large submissions that arrive together are stored in several appends",
    "[work-log]") {
  constexpr int kSubmissions = 100;
  World world;
  std::vector<CallId> calls;
  calls.reserve(kSubmissions);
  for (int i = 0; i < kSubmissions; ++i) {
    calls.push_back(world.Submit(0, Id(i), LargestSteps()));
  }
  world.Run(seconds(1));
  for (const CallId call : calls) {
    REQUIRE(world.AnswerTo(call));
    CHECK(world.AnswerTo(call)->kind == ErrorKind::kNone);
  }
  CHECK(world.largest_append <= kMaxAppendBytes);
}

/// Stores a submission of which all tasks but one of the first step have
/// succeeded.
void StoreNearlyDone(World& world, const SubmissionId& id) {
  boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
  spec->id = id;
  spec->route = RouteName{"plans"};
  StepSpec last = Tasks(1);
  last.after = {0};
  // No worker has this label, so the submission does not end.
  last.required_label = "none";
  spec->steps = {Tasks(limits::kMaxTasks - 1), last};
  QueuePolicy policy;
  policy.pool = PoolName{"pool"};
  world.AddLogRecord(AcceptedRecord{spec, policy});
  ProgressRecord progress{id, SubmissionState::kRunning, {}};
  for (std::uint32_t i = 1; i + 1 < limits::kMaxTasks; ++i) {
    progress.tasks.push_back({0, i, true, {}, Attempt{1}});
  }
  world.AddLogRecord(progress);
}

TEST_CASE(
    "Large progress records that arise together are stored in several appends",
    "[work-log]") {
  constexpr int kSubmissions = 16;
  World world;
  world.Kill(0);
  for (int i = 0; i < kSubmissions; ++i) {
    StoreNearlyDone(world, SubmissionId{Id(i)});
  }
  world.Restart(0);
  world.run_time = seconds(3);
  world.Run(seconds(3));
  // All runs end while appends are refused.
  world.appends_are_refused = true;
  world.Run(seconds(3));
  world.appends_are_refused = false;
  world.Run(seconds(2));
  REQUIRE(world.Leader() == 0);
  CHECK(world.largest_append > kMaxAppendBytes / 4);
  CHECK(world.largest_append <= kMaxAppendBytes);
  for (int i = 0; i < kSubmissions; ++i) {
    CHECK(world.Starts(Id(i)) == 1);
  }
  for (const auto& [name, worker] :
       world.StateOf(0).submissions.fleet.workers) {
    CHECK(worker.seen_end > 0);
    CHECK(worker.stored_end == worker.seen_end);
  }
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace basilspread::test
