#ifndef BASILSPREAD_CORE_RANDOM_H_
#define BASILSPREAD_CORE_RANDOM_H_

#include <cstdint>
#include <string_view>

namespace basilspread {

/// Pseudo-random number generator, the only source of randomness in the state,
/// so that a replay is exact. Algorithm: SplitMix64 (Steele, Lea and Flood,
/// OOPSLA 2014).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next();
  /// Returns a uniformly distributed number in [0, bound); `bound` must not be
  /// 0.
  std::uint64_t NextBelow(std::uint64_t bound);

 private:
  std::uint64_t state;
};

/// Hash that is equal in every process. Algorithm: 64-bit FNV-1a with the
/// SplitMix64 finalizer.
std::uint64_t StableHash(std::string_view text);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RANDOM_H_
