#include "quota/amounts.h"

#include <algorithm>
#include <limits>

namespace basilspread::internal::quota {
namespace {

std::int64_t CountBelow(std::int64_t quota, std::int64_t used,
                        std::int64_t demand) {
  if (quota <= 0 || demand <= 0) {
    return std::numeric_limits<std::int64_t>::max();
  }
  return used >= quota ? 0 : (quota - used - 1) / demand + 1;
}

}  // namespace

std::int64_t CountStartable(const Resources& quota, const Resources& used,
                            const Resources& demand) {
  return std::min(
      {CountBelow(quota.cpu_millicores, used.cpu_millicores,
                  demand.cpu_millicores),
       CountBelow(quota.memory_mebibytes, used.memory_mebibytes,
                  demand.memory_mebibytes),
       CountBelow(quota.accelerators, used.accelerators, demand.accelerators)});
}

Resources Smaller(const Resources& left, const Resources& right) {
  return {std::min(left.cpu_millicores, right.cpu_millicores),
          std::min(left.memory_mebibytes, right.memory_mebibytes),
          std::min(left.accelerators, right.accelerators)};
}

Resources Larger(const Resources& left, const Resources& right) {
  return {std::max(left.cpu_millicores, right.cpu_millicores),
          std::max(left.memory_mebibytes, right.memory_mebibytes),
          std::max(left.accelerators, right.accelerators)};
}

}  // namespace basilspread::internal::quota
