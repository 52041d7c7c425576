#ifndef BASILSPREAD_CORE_LIMITS_H_
#define BASILSPREAD_CORE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "basilspread/core/resources.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/time.h"

/// What decoders take. Values beyond these bounds are refused where they come
/// in, so that sums and products of what lies within them stay in range.
namespace basilspread::limits {

/// Longest time that any message states; a hundred of them still fit into a
/// Duration.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);
/// A worker's clock counts from its start.
inline constexpr Duration kMaxUptime = std::chrono::hours(24 * 365 * 50);

/// Bytes of a name, label or address.
inline constexpr std::size_t kMaxNameBytes = 128;
/// Bytes of a checkpoint, ticket or submission's command.
inline constexpr std::size_t kMaxTextBytes = 4000;
/// Labels of a worker.
inline constexpr std::size_t kMaxLabels = 64;

/// What one worker has or one task reserves, in thousandths of a core,
/// mebibytes and accelerators: a thousand times the largest machines sold.
inline constexpr Resources kMaxResources{1'000'000'000, 1'000'000'000,
                                         1'000'000};

inline constexpr std::size_t kMaxSteps = 64;
/// Tasks of a submission together. The record of their progress takes some 40
/// bytes a task, and the log takes 256 KiB a record.
inline constexpr std::uint32_t kMaxTasks = 4096;
/// Expected run times of a submission's steps together.
inline constexpr Duration kMaxExpectedWork = std::chrono::hours(24 * 30);
/// Allowed time as a multiple of a chain of work. With runs of eight times the
/// expected time, a hundred such chains of kMaxExpectedWork last 66 years.
inline constexpr double kMaxStretch = 100;
inline constexpr Duration kMaxTargetLatency = std::chrono::hours(24 * 30);

/// Whether every amount is from 0 to that of kMaxResources.
constexpr bool IsWithin(const Resources& amounts) {
  return amounts.cpu_millicores >= 0 && amounts.memory_mebibytes >= 0 &&
         amounts.accelerators >= 0 &&
         amounts.cpu_millicores <= kMaxResources.cpu_millicores &&
         amounts.memory_mebibytes <= kMaxResources.memory_mebibytes &&
         amounts.accelerators <= kMaxResources.accelerators;
}

/// Whether the time is from 0 to `longest`.
constexpr bool IsWithin(Duration time, Duration longest) {
  return time >= Duration::zero() && time <= longest;
}

/// Whether every part of the submission is within its bounds, and all of them
/// together; and whether steps wait for earlier ones only.
bool IsWithin(const SubmissionSpec& spec);

}  // namespace basilspread::limits

#endif  // BASILSPREAD_CORE_LIMITS_H_
