#include "attempts/numbering.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace basilspread::internal::attempts {
namespace {

/// Numbers of an epoch. A task gets more in one epoch only by as many refused
/// starts and lost runs; 22 bits are left for epochs.
constexpr std::uint64_t kRunsPerEpoch = 1024;
constexpr std::uint64_t kLastEpoch =
    std::numeric_limits<std::uint32_t>::max() / kRunsPerEpoch - 1;

/// The first number that this leader gives to an inherited submission.
Attempt FirstRun(const Context& context) {
  const std::uint64_t epoch = context.state.submissions.leadership.epoch.value;
  return Attempt{
      static_cast<std::uint32_t>(std::min(epoch, kLastEpoch) * kRunsPerEpoch)};
}

}  // namespace

Attempt NextRun(const Context& context, const Submission& submission,
                Attempt highest) {
  const Attempt next{highest.value + 1};
  // Numbers of running tasks are not stored, and an earlier leader may have
  // given higher ones to workers that do not answer.
  return submission.inherited ? std::max(next, FirstRun(context)) : next;
}

bool IsOfEarlierLeader(const Context& context, const Submission& submission,
                       Attempt run) {
  return submission.inherited && run < FirstRun(context);
}

void RecordNumber(RunState& task, Attempt run) {
  task.highest_run = std::max(task.highest_run, run);
}

}  // namespace basilspread::internal::attempts
