#include "call_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace basilspread::node {
namespace {

using std::chrono::seconds;

TimePoint At(int second) { return TimePoint() + seconds(second); }

void Add(CallQueue& queue, std::string target, int deadline) {
  HttpCall call;
  call.target = std::move(target);
  call.deadline = At(deadline);
  queue.Add(std::move(call));
}

std::string TargetsOf(const std::vector<HttpCall>& calls) {
  std::string targets;
  for (const HttpCall& call : calls) {
    targets += call.target;
  }
  return targets;
}

TEST_CASE("Calls keep their order regardless of their deadlines",
          "[node][http]") {
  CallQueue queue;
  CHECK(queue.IsEmpty());
  CHECK_FALSE(queue.EarliestDeadline());
  Add(queue, "a", 30);
  CHECK_FALSE(queue.HasWaiting());
  Add(queue, "b", 10);
  Add(queue, "c", 20);
  CHECK(queue.HasWaiting());
  CHECK(queue.EarliestDeadline() == At(10));

  SECTION("They are taken one after another") {
    CHECK(queue.TakeFront().target == "a");
    CHECK(queue.TakeFront().target == "b");
    CHECK(queue.EarliestDeadline() == At(20));
    CHECK(queue.TakeFront().target == "c");
    CHECK(queue.IsEmpty());
    CHECK_FALSE(queue.EarliestDeadline());
  }

  SECTION("The calls behind the front one are taken together") {
    CHECK(TargetsOf(queue.TakeWaiting()) == "bc");
    CHECK(queue.Front().target == "a");
    CHECK(queue.EarliestDeadline() == At(30));
    CHECK_FALSE(queue.HasWaiting());
  }

  SECTION("Overdue calls are taken, except a front call in progress") {
    CHECK(TargetsOf(queue.TakeOverdue(At(9), true)).empty());
    CHECK(TargetsOf(queue.TakeOverdue(At(10), true)) == "b");
    CHECK(queue.EarliestDeadline() == At(20));
    CHECK(TargetsOf(queue.TakeOverdue(At(30), true)) == "c");
    CHECK(queue.Front().target == "a");
    CHECK(TargetsOf(queue.TakeOverdue(At(29), false)).empty());
    CHECK(TargetsOf(queue.TakeOverdue(At(30), false)) == "a");
    CHECK(queue.IsEmpty());
  }
}

}  // namespace
}  // namespace basilspread::node
