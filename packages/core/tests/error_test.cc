#include "basilspread/core/error.h"

#include <catch2/catch.hpp>

namespace basilspread {
namespace {

TEST_CASE("Every error kind is found by its name", "[core][error]") {
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    REQUIRE(AnswerFor(kind).kind == kind);
    REQUIRE(ErrorKindNamed(AnswerFor(kind).name) == kind);
  }
}

}  // namespace
}  // namespace basilspread
