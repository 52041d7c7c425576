#include "basilspread/core/random.h"

namespace basilspread {
namespace {

constexpr std::uint64_t kGoldenGamma = 0x9E3779B97F4A7C15U;
constexpr std::uint64_t kFnvOffsetBasis = 0xCBF29CE484222325U;
constexpr std::uint64_t kFnvPrime = 0x100000001B3U;

std::uint64_t Mix(std::uint64_t z) {
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9U;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBU;
  return z ^ (z >> 31U);
}

}  // namespace

std::uint64_t Random::Next() {
  this->state += kGoldenGamma;
  return Mix(this->state);
}

std::uint64_t Random::NextBelow(std::uint64_t bound) {
  return this->Next() % bound;
}

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return Mix(hash);
}

}  // namespace basilspread
