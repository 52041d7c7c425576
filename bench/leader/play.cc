#include "play.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "reduce_watch.h"
#include "support/store_world.h"

namespace basilspread::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::StoreWorld;

constexpr int kProcesses = 2;
constexpr std::uint32_t kTasks = 3;
/// Of the stream; the two processes' advisors answer some 100 questions a
/// second.
constexpr Duration kBetweenSubmissions = milliseconds(20);
constexpr std::size_t kSubmissions = 150;
constexpr Duration kRunTime = milliseconds(200);
constexpr Duration kLongRunTime = std::chrono::hours(1);
/// One question names at most 100 workers.
constexpr std::uint32_t kLongTasksTogether = 50;
constexpr Duration kBetweenLong = milliseconds(100);
constexpr Duration kSettleTime = seconds(3);
/// Two do not fit on a worker of 4 cores and 4 GiB; the stream's tasks, of one
/// core and 256 MiB, fit beside.
const Resources kLongDemand{2000, 2100, 0};
/// Do not fit beside those.
const Resources kShortOfCores{3000, 256, 0};
const Resources kShortOfMemory{1000, 3000, 0};

/// Becomes StoreWorld's choice of hands, which earlier trees do not have.
struct HandsChoice {
  bool on = false;

  template <typename Hands>
  // NOLINTNEXTLINE(google-explicit-constructor): that is its use.
  operator Hands() const {
    return this->on ? Hands::kOn : Hands::kOff;
  }
};

template <typename World>
constexpr bool kHasHands =
    std::is_constructible_v<World, int, std::vector<std::string>, HandsChoice>;

template <typename World>
std::unique_ptr<World> MakeWorld(const std::vector<std::string>& names,
                                 bool hands) {
  if constexpr (kHasHands<World>) {
    return std::make_unique<World>(kProcesses, names, HandsChoice{hands});
  } else {
    static_cast<void>(hands);
    return std::make_unique<World>(kProcesses, names);
  }
}

std::string IdOf(char kind, std::size_t number) {
  return fmt::format("{}{:015x}", kind, number);
}

StepSpec StepOf(std::uint32_t count, const Resources& demand) {
  StepSpec step = test::Tasks(count);
  step.demand = demand;
  return step;
}

void Add(Share& share, Duration taken) {
  ++share.count;
  share.time += taken;
}

/// Adds what an event cost.
struct Sorter {
  Costs& costs;
  Duration taken;

  void operator()(const SubmissionCallArrived& /*event*/) const {
    Add(this->costs.calls, this->taken);
  }

  void operator()(const TimerFired& event) const {
    Add(event.kind == TimerKind::kPlacement ? this->costs.passes
                                            : this->costs.others,
        this->taken);
  }

  void operator()(const RunOrdered& /*event*/) const {
    Add(this->costs.answered_starts, this->taken);
  }

  void operator()(const WorkerPolled& event) const {
    this->costs.ends += event.ended.size();
    Add(event.ended.empty() ? this->costs.empty_looks
                            : this->costs.looks_with_ends,
        this->taken);
  }

  void operator()(const WorkAppended& /*event*/) const {
    Add(this->costs.appends, this->taken);
  }

  void operator()(const PeerReceived& /*event*/) const {
    Add(this->costs.messages, this->taken);
  }

  template <typename Other>
  void operator()(const Other& /*event*/) const {
    Add(this->costs.others, this->taken);
  }
};

void StartLongRuns(StoreWorld& world, std::size_t workers) {
  world.run_time = kLongRunTime;
  for (std::size_t done = 0; done < workers; done += kLongTasksTogether) {
    const std::size_t count =
        std::min<std::size_t>(kLongTasksTogether, workers - done);
    StepSpec step = StepOf(static_cast<std::uint32_t>(count), kLongDemand);
    // Else the runs would be taken for stuck, and their workers avoided.
    step.expected_run_time = kLongRunTime;
    world.Submit(0, IdOf('a', done), {step});
    world.Run(kBetweenLong);
  }
  world.Run(kSettleTime);
}

void AddWaiting(StoreWorld& world, const PlaySize& size) {
  const Resources& demand =
      size.shortage == Shortage::kCores ? kShortOfCores : kShortOfMemory;
  for (std::size_t i = 0; i < size.waiting; ++i) {
    world.Submit(0, IdOf('b', i), {StepOf(1, demand)});
    world.Run(milliseconds(1));
  }
  world.Run(kSettleTime);
}

void Stream(StoreWorld& world, Costs& costs) {
  world.run_time = kRunTime;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    world.Submit(static_cast<int>(i) % kProcesses, IdOf('c', i),
                 {StepOf(kTasks, Resources{1000, 256, 0})});
    world.Run(kBetweenSubmissions);
  }
  costs.submissions = kSubmissions;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      costs.starts +=
          static_cast<std::size_t>(world.Starts(IdOf('c', i), 0, task));
    }
  }
}

}  // namespace

bool HasHands() { return kHasHands<StoreWorld>; }

Costs Play(const PlaySize& size) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < size.workers; ++i) {
    names.push_back(fmt::format("w{:04}", i));
  }
  WatchReduce({});
  const std::unique_ptr<StoreWorld> world =
      MakeWorld<StoreWorld>(names, size.hands);
  StartLongRuns(*world, size.workers);
  AddWaiting(*world, size);
  Costs costs;
  WatchReduce([&costs](const State& state, const Event& event, Duration taken) {
    if (state.submissions.leadership.phase == LeaderPhase::kLeading) {
      std::visit(Sorter{costs, taken}, event.body);
    }
  });
  Stream(*world, costs);
  WatchReduce({});
  costs.waiting = world->StateOf(world->Leader()).submissions.queue.size();
  return costs;
}

}  // namespace basilspread::bench
