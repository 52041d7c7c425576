#include "basilspread/core/capacity.h"

namespace basilspread {
namespace {

/// Minimum ratio of capacities for which the leadership moves, since each move
/// interrupts placement.
constexpr double kClearGain = 2;

struct Comparison {
  bool has_less = false;
  bool has_clearly_more = false;
};

void Compare(double first, double second, Comparison& comparison) {
  if (first <= 0 || second <= 0) {
    return;
  }
  comparison.has_less = comparison.has_less || first < second;
  comparison.has_clearly_more =
      comparison.has_clearly_more || first >= kClearGain * second;
}

}  // namespace

bool IsStated(const Capacity& capacity) {
  return capacity.processor_share > 0 || capacity.link_mbps > 0;
}

bool Outranks(const Capacity& first, const Capacity& second) {
  Comparison comparison;
  Compare(first.processor_share, second.processor_share, comparison);
  Compare(first.link_mbps, second.link_mbps, comparison);
  return comparison.has_clearly_more && !comparison.has_less;
}

}  // namespace basilspread
