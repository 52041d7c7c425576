#include "log_limiter.h"

#include <catch2/catch.hpp>

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LogLimiter::Limits kLimits = {3, 2};

int Admitted(LogLimiter& limiter, std::string_view kind, TimePoint now,
             int lines) {
  int admitted = 0;
  for (int i = 0; i < lines; ++i) {
    admitted += limiter.Admit(kind, now) ? 1 : 0;
  }
  return admitted;
}

TEST_CASE("A flood of one kind of line does not limit the other kinds",
          "[log]") {
  LogLimiter limiter(kLimits);
  const TimePoint now{seconds(10)};
  REQUIRE(Admitted(limiter, "refused", now, 1000) == 3);
  REQUIRE(Admitted(limiter, "accepted", now, 2) == 2);

  SECTION("and dropped lines are reported once") {
    const std::vector<DroppedLines> dropped = limiter.TakeDropped();
    REQUIRE(dropped.size() == 1);
    REQUIRE(dropped.front().kind == "refused");
    REQUIRE(dropped.front().count == 997);
    REQUIRE(limiter.TakeDropped().empty());
  }
  SECTION("and lines of the kind are admitted at the refill rate") {
    REQUIRE(Admitted(limiter, "refused", now + milliseconds(400), 10) == 0);
    REQUIRE(Admitted(limiter, "refused", now + seconds(1), 10) == 2);
    REQUIRE(Admitted(limiter, "refused", now + seconds(100), 10) == 3);
  }
}

TEST_CASE("A line that does not fit into the queue counts as dropped",
          "[log]") {
  LogLimiter limiter(kLimits);
  REQUIRE(limiter.Admit("accepted", TimePoint{}));
  limiter.CountDropped("accepted");
  REQUIRE(limiter.TakeDropped().at(0).count == 1);
}

}  // namespace
}  // namespace basilspread::node
