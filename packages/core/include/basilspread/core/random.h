#ifndef BASILSPREAD_CORE_RANDOM_H_
#define BASILSPREAD_CORE_RANDOM_H_

#include <cstdint>
#include <string_view>

namespace basilspread {

/// The source of all randomness in the state: replays are exact.
/// Algorithm: SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next();
  /// Uniform in [0, bound); `bound` must not be 0.
  std::uint64_t NextBelow(std::uint64_t bound);

 private:
  std::uint64_t state;
};

/// Hash that is the same in every process. Algorithm: FNV-1a, 64 bits,
/// finished by the SplitMix64 mixer.
std::uint64_t StableHash(std::string_view text);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RANDOM_H_
