#include "basilspread/core/placement.h"

#include <catch2/catch.hpp>

namespace basilspread {
namespace {

PlacementIndex MakeIndex(const std::vector<Resources>& free) {
  PlacementIndex index;
  for (const Resources& room : free) {
    index.SetFree(index.Add(Resources{64000, 65536, 8}), room);
  }
  return index;
}

TEST_CASE("Best fit takes the tightest worker that fits", "[placement]") {
  const PlacementIndex index =
      MakeIndex({Resources{32000, 32768, 0}, Resources{4000, 512, 0},
                 Resources{5000, 5120, 0}, Resources{64000, 65536, 0}});
  CHECK(index.BestFit(Resources{4000, 4096, 0}) == 2U);
  CHECK(index.BestFit(Resources{33000, 1024, 0}) == 3U);
  CHECK_FALSE(index.BestFit(Resources{65000, 1024, 0}));
}

TEST_CASE("A task without accelerators prefers workers without them",
          "[placement]") {
  const PlacementIndex index =
      MakeIndex({Resources{4000, 4096, 8}, Resources{8000, 8192, 0}});
  CHECK(index.BestFit(Resources{4000, 4096, 0}) == 1U);
  CHECK(index.BestFit(Resources{4000, 4096, 1}) == 0U);
}

TEST_CASE("A worker that fits is found among any number that do not",
          "[placement]") {
  PlacementIndex index;
  for (int i = 0; i < 1000; ++i) {
    // Enough of the dominant dimension and too little of the other.
    index.SetFree(index.Add(Resources{64000, 65536, 0}),
                  Resources{40000 + i, 10, 0});
  }
  const std::size_t last = index.Add(Resources{64000, 65536, 0});
  index.SetFree(last, Resources{64000, 65536, 0});
  CHECK(index.BestFit(Resources{32000, 1024, 0}) == last);
  CHECK(index.FirstFit(Resources{32000, 1024, 0}, 5) == last);
  index.SetFree(last, std::nullopt);
  CHECK_FALSE(index.BestFit(Resources{32000, 1024, 0}));
  CHECK_FALSE(index.FirstFit(Resources{32000, 1024, 0}, last));
}

}  // namespace
}  // namespace basilspread
