#ifndef BASILSPREAD_TESTS_SUPPORT_MUTATIONS_H_
#define BASILSPREAD_TESTS_SUPPORT_MUTATIONS_H_

#include <rapidcheck.h>
#include <stdlib.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

/// Valid messages made odd, for tests of decoders.
namespace basilspread::test {

/// Fixed unless the caller sets its own; RapidCheck reads it once.
inline void FixSeed() {
  setenv("RC_PARAMS", "seed=20261205 max_success=5000", 0);
}

enum class MutationKind {
  kCut,
  kFlipBit,
  kOverwriteByte,
  kOverwriteWord,
  kRepeat,
  kSwap,
  kRemove,
  kInsertValue,
  kReplaceValue,
  kDeepNest,
};
inline constexpr std::uint32_t kMutationKinds = 10;
/// A place is a share of a message's length, in parts of this number.
inline constexpr std::uint32_t kPlaces = 65536;

/// One change of a message.
struct Mutation {
  MutationKind kind = MutationKind::kCut;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::uint32_t value = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Mutation& mutation) {
  return out << static_cast<int>(mutation.kind) << '@' << mutation.first << '/'
             << mutation.second << '=' << mutation.value;
}

/// Places and values are drawn from their whole range in every run.
inline rc::Gen<Mutation> GenMutation() {
  const auto word = [](std::uint32_t end) {
    return rc::gen::resize(rc::kNominalSize,
                           rc::gen::inRange<std::uint32_t>(0, end));
  };
  return rc::gen::map(
      rc::gen::tuple(word(kMutationKinds), word(kPlaces), word(kPlaces),
                     word(std::numeric_limits<std::uint32_t>::max())),
      [](const auto& numbers) {
        const auto& [kind, first, second, value] = numbers;
        return Mutation{static_cast<MutationKind>(kind), first, second, value};
      });
}

/// One to four changes.
inline rc::Gen<std::vector<Mutation>> GenMutations() {
  return rc::gen::mapcat(
      rc::gen::inRange<std::size_t>(1, 5), [](std::size_t count) {
        return rc::gen::container<std::vector<Mutation>>(count, GenMutation());
      });
}

/// Values that a JSON reader may stumble over.
inline std::string OddValue(std::uint32_t number) {
  static const std::vector<std::string> kValues = {
      "-1",
      "0",
      "1e999",
      "-1e999",
      "1e300",
      "1.5",
      "9223372036854775807",
      "9223372036854775808",
      "18446744073709551615",
      "18446744073709551616",
      "4294967296",
      "4611686018427387904",
      "-9223372036854775809",
      "NaN",
      "Infinity",
      "null",
      "true",
      "[]",
      "{}",
      R"("")",
      R"("\u0000")",
      R"("\ud800")",
      "\"\xff\xfe\"",
      R"("127.0.0.1:70000")",
      "1" + std::string(400, '0'),
      '"' + std::string(5000, 'x') + '"'};
  return kValues[number % kValues.size()];
}

namespace mutations {

inline std::size_t PlaceIn(const std::string& text, std::uint32_t share) {
  return text.size() * share / kPlaces;
}

/// Begin and length of the JSON value or name that stands at or behind a
/// place, as far as a reader without a grammar can tell.
inline std::pair<std::size_t, std::size_t> ValueAt(const std::string& text,
                                                   std::size_t place) {
  const std::size_t colon = text.find_first_of(":,[", place);
  if (colon == std::string::npos) {
    return {place, 0};
  }
  const std::size_t end = text.find_first_of(",]}", colon + 1);
  return {colon + 1,
          (end == std::string::npos ? text.size() : end) - colon - 1};
}

inline std::string Nest(std::uint32_t number) {
  constexpr std::array<std::size_t, 4> kDepths = {17, 200, 10'000, 100'000};
  const std::size_t depth = kDepths[number % kDepths.size()];
  if (number % 3 == 0) {
    return std::string(depth, '[');
  }
  return std::string(depth, '[') + std::string(depth, ']');
}

inline void Overwrite(std::string& text, std::size_t place, std::uint32_t word,
                      std::size_t bytes) {
  for (std::size_t i = 0; i < bytes && place + i < text.size(); ++i) {
    text[place + i] = static_cast<char>(word >> (8 * i));
  }
}

}  // namespace mutations

inline void Apply(const Mutation& mutation, std::string& text) {
  using mutations::PlaceIn;
  if (text.empty()) {
    return;
  }
  const std::size_t first = PlaceIn(text, mutation.first);
  const std::size_t second = PlaceIn(text, mutation.second);
  const auto [begin, end] = std::minmax(first, second);
  const std::string span = text.substr(begin, end - begin);
  const auto [value_begin, value_bytes] = mutations::ValueAt(text, first);
  constexpr std::array<std::uint32_t, 6> kWords = {
      0, 1, 0x7FFFFFFF, 0x80000000, 0xFFFFFFFF, 0xFFFFFFF0};
  switch (mutation.kind) {
    case MutationKind::kCut:
      text.resize(first);
      return;
    case MutationKind::kFlipBit:
      text[first] = static_cast<char>(static_cast<unsigned char>(text[first]) ^
                                      (1U << (mutation.value % 8)));
      return;
    case MutationKind::kOverwriteByte:
      text[first] = static_cast<char>(mutation.value);
      return;
    case MutationKind::kOverwriteWord: {
      const bool is_small = mutation.value % 2 == 0;
      // Aligned, as the offsets and numbers of binary messages are.
      mutations::Overwrite(text, first / 4 * 4,
                           is_small
                               ? mutation.value % 256
                               : kWords[mutation.value / 2 % kWords.size()],
                           4);
      return;
    }
    case MutationKind::kRepeat:
      text.insert(second, span);
      return;
    case MutationKind::kSwap:
      std::swap(text[first], text[second]);
      return;
    case MutationKind::kRemove:
      text.erase(begin, end - begin);
      return;
    case MutationKind::kInsertValue:
      text.insert(first, OddValue(mutation.value));
      return;
    case MutationKind::kReplaceValue:
      text.replace(value_begin, value_bytes, OddValue(mutation.value));
      return;
    case MutationKind::kDeepNest:
      text.replace(value_begin, value_bytes, mutations::Nest(mutation.value));
      return;
  }
}

/// The message with all changes made, one after the other.
inline std::string Mutate(std::string text,
                          const std::vector<Mutation>& mutations) {
  for (const Mutation& mutation : mutations) {
    Apply(mutation, text);
  }
  return text;
}

}  // namespace basilspread::test

#endif  // BASILSPREAD_TESTS_SUPPORT_MUTATIONS_H_
