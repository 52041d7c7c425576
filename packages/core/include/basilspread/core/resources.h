#ifndef BASILSPREAD_CORE_RESOURCES_H_
#define BASILSPREAD_CORE_RESOURCES_H_

#include <compare>
#include <cstddef>
#include <cstdint>

namespace basilspread {

/// What a host has or a task reserves.
struct Resources {
  /// Thousandths of a processor core.
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mebibytes = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend bool operator==(const Resources&, const Resources&) = default;
};

Resources operator+(Resources left, const Resources& right);
Resources operator-(Resources left, const Resources& right);

/// What so many tasks of this demand need together.
Resources Times(const Resources& demand, std::size_t count);

/// Whether every component of `demand` is at most that of `room`.
bool Fits(const Resources& demand, const Resources& room);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RESOURCES_H_
