#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(fmt::format("w{}", i));
  }
  return names;
}

std::string Id(int number) { return fmt::format("{:016x}", number); }

/// A step that requires a label that no worker has.
StepSpec Unplaceable() {
  StepSpec step = Tasks(1);
  step.required_label = "nowhere";
  return step;
}

/// Number of workers that placement considers in a second while 40 submissions
/// wait for room.
std::uint64_t WorkersConsidered(int workers) {
  StoreWorld world(1, Names(workers));
  world.run_time = seconds(30);
  // Fills all workers except for the room of one task.
  world.Submit(0, Id(1), {Tasks(static_cast<std::uint32_t>(workers * 4 - 1))});
  world.Run(seconds(3));
  for (int i = 0; i < 40; ++i) {
    world.Submit(0, Id(100 + i), {Tasks(4)});
  }
  world.Run(seconds(4));
  return world.StateOf(0).load.before.workers_looked_at;
}

TEST_CASE("Unplaceable submissions do not block later submissions",
          "[placement-load]") {
  StoreWorld world(1, Names(4));
  for (int i = 0; i < 150; ++i) {
    world.Submit(0, Id(i), {Unplaceable()});
  }
  world.Run(milliseconds(300));
  world.Submit(0, Id(1000), {Tasks(2)});
  world.Run(milliseconds(300));
  CHECK(world.Starts(Id(1000)) == 1);
}

TEST_CASE("The number of workers considered does not grow with the fleet",
          "[placement-load]") {
  CHECK(WorkersConsidered(200) <= 2 * WorkersConsidered(10) + 100);
}

}  // namespace
}  // namespace basilspread::test
