#ifndef BASILSPREAD_TESTS_PLATFORM_RANDOM_H_
#define BASILSPREAD_TESTS_PLATFORM_RANDOM_H_

#include <cstdint>
#include <random>
#include <vector>

#include "basilspread/core/time.h"

/// Draws that depend on the seed alone.
namespace standin {

using Random = std::mt19937_64;

inline std::uint64_t Below(Random& random, std::uint64_t end) {
  return std::uniform_int_distribution<std::uint64_t>(0, end - 1)(random);
}

inline bool Chance(Random& random, double probability) {
  return std::bernoulli_distribution(probability)(random);
}

inline basilspread::Duration Between(Random& random,
                                     basilspread::Duration least,
                                     basilspread::Duration most) {
  return basilspread::Duration(std::uniform_int_distribution<std::int64_t>(
      least.count(), most.count())(random));
}

template <typename Value>
const Value& Pick(Random& random, const std::vector<Value>& values) {
  return values.at(Below(random, values.size()));
}

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_RANDOM_H_
