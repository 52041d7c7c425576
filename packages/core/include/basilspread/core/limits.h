#ifndef BASILSPREAD_CORE_LIMITS_H_
#define BASILSPREAD_CORE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "basilspread/core/resources.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/time.h"

/// Bounds of the values that decoders accept. Values outside them are rejected
/// on input, so that sums and products of accepted values cannot overflow.
namespace basilspread::limits {

/// Longest duration in any message; a hundred of them still fit into a
/// Duration.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);
/// Longest uptime that a worker may report; its clock counts from its start.
inline constexpr Duration kMaxUptime = std::chrono::hours(24 * 365 * 50);

/// Highest epoch. A fence holds the epoch and 20 bits, and workers accept
/// integers up to 2^53.
inline constexpr std::uint64_t kMaxEpoch = (std::uint64_t{1} << 33U) - 1;

/// Maximum bytes of a name, label or address.
inline constexpr std::size_t kMaxNameBytes = 128;
/// Maximum bytes of a checkpoint, a ticket or a submission's command.
inline constexpr std::size_t kMaxTextBytes = 4000;
/// Maximum number of labels of a worker.
inline constexpr std::size_t kMaxLabels = 64;

/// Most that one worker may have or one task may reserve, in millicores,
/// mebibytes and accelerators; a thousand times the largest machines sold.
inline constexpr Resources kMaxResources{1'000'000'000, 1'000'000'000,
                                         1'000'000};

/// Maximum bytes of a record of the work log, with its key.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;
/// Maximum number of runs in a worker's record.
inline constexpr std::size_t kMaxRecordedRuns = 4096;

/// Maximum number of rows in the record of learned run times. A row takes at
/// most 800 bytes.
inline constexpr std::size_t kMaxRunTimeRows = 256;
/// Maximum weight of a histogram of run times; decay keeps it below.
inline constexpr double kMaxRunTimeWeight = 1000;

/// Maximum number of steps of a submission.
inline constexpr std::size_t kMaxSteps = 64;
/// Maximum number of tasks in all steps of a submission. Their progress record
/// takes about 40 bytes per task, and the log accepts records up to 256 KiB.
inline constexpr std::uint32_t kMaxTasks = 4096;
/// Maximum sum of the expected run times of a submission's steps.
inline constexpr Duration kMaxExpectedWork = std::chrono::hours(24 * 30);
/// Maximum of QueuePolicy::stretch. Even when runs take eight times their
/// expected time, a hundred times a chain of kMaxExpectedWork is 66 years.
inline constexpr double kMaxStretch = 100;
/// Maximum of any target latency.
inline constexpr Duration kMaxTargetLatency = std::chrono::hours(24 * 30);

/// Whether every amount is between 0 and its bound in kMaxResources.
constexpr bool IsWithin(const Resources& amounts) {
  return amounts.cpu_millicores >= 0 && amounts.memory_mebibytes >= 0 &&
         amounts.accelerators >= 0 &&
         amounts.cpu_millicores <= kMaxResources.cpu_millicores &&
         amounts.memory_mebibytes <= kMaxResources.memory_mebibytes &&
         amounts.accelerators <= kMaxResources.accelerators;
}

/// Whether the duration is between 0 and `longest`.
constexpr bool IsWithin(Duration time, Duration longest) {
  return time >= Duration::zero() && time <= longest;
}

/// Whether each field of the submission and the totals over its steps are
/// within bounds, and every step depends on earlier steps only.
bool IsWithin(const SubmissionSpec& spec);

}  // namespace basilspread::limits

#endif  // BASILSPREAD_CORE_LIMITS_H_
