#ifndef BASILSPREAD_CORE_CAPACITY_H_
#define BASILSPREAD_CORE_CAPACITY_H_

namespace basilspread {

/// What its host grants a process. Zero: not stated.
struct Capacity {
  /// Share of one core.
  double processor_share = 0;
  /// Rate of the host's network link in Mbit/s.
  double link_mbps = 0;

  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// Whether anything is stated.
bool IsStated(const Capacity& capacity);

/// Whether the first has at least twice as much of one resource as the second
/// and no less of the others. What one of them does not state is left out.
bool Outranks(const Capacity& first, const Capacity& second);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CAPACITY_H_
