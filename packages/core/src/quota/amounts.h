#ifndef BASILSPREAD_CORE_QUOTA_AMOUNTS_H_
#define BASILSPREAD_CORE_QUOTA_AMOUNTS_H_

#include <cstdint>

#include "basilspread/core/resources.h"

/// Arithmetic of quotas, without state.
namespace basilspread::internal::quota {

/// Number of tasks that may start while the usage is below the quota. The last
/// of them may exceed it. An amount of 0 in the quota is not limited.
std::int64_t CountStartable(const Resources& quota, const Resources& used,
                            const Resources& demand);

/// The lesser of each amount.
Resources Smaller(const Resources& left, const Resources& right);
/// The greater of each amount.
Resources Larger(const Resources& left, const Resources& right);

}  // namespace basilspread::internal::quota

#endif  // BASILSPREAD_CORE_QUOTA_AMOUNTS_H_
