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

TEST_CASE("A storm of one kind of line leaves the other kinds alone", "[log]") {
  LogLimiter limiter(kLimits);
  const TimePoint now{seconds(10)};
  REQUIRE(Admitted(limiter, "refused", now, 1000) == 3);
  REQUIRE(Admitted(limiter, "accepted", now, 2) == 2);

  SECTION("and what was left out is told once") {
    const std::vector<OmittedLines> omitted = limiter.TakeOmitted();
    REQUIRE(omitted.size() == 1);
    REQUIRE(omitted.front().kind == "refused");
    REQUIRE(omitted.front().count == 997);
    REQUIRE(limiter.TakeOmitted().empty());
  }
  SECTION("and lines of the kind come back at their rate") {
    REQUIRE(Admitted(limiter, "refused", now + milliseconds(400), 10) == 0);
    REQUIRE(Admitted(limiter, "refused", now + seconds(1), 10) == 2);
    REQUIRE(Admitted(limiter, "refused", now + seconds(100), 10) == 3);
  }
}

TEST_CASE("A line that found no room in the queue counts as left out",
          "[log]") {
  LogLimiter limiter(kLimits);
  REQUIRE(limiter.Admit("accepted", TimePoint{}));
  limiter.Omit("accepted");
  REQUIRE(limiter.TakeOmitted().at(0).count == 1);
}

}  // namespace
}  // namespace basilspread::node
