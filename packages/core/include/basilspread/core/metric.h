#ifndef BASILSPREAD_CORE_METRIC_H_
#define BASILSPREAD_CORE_METRIC_H_

#include <cstddef>
#include <string_view>

namespace basilspread {

/// The metrics of a process that uses a shared store.
enum class Metric {
  kCalls,
  kCallTime,
  kSubmissionsEnded,
  kSubmissionTime,
  kFirstStartWait,
  kStepWaitTime,
  kAcceptTime,
  kRunsStarted,
  kRunsEnded,
  kRunsLost,
  kUnreadableRecords,
  kPreemptions,
  kWastedWork,
  kUnavailableTime,
  kLongRunningTasks,
  kLongRunningAtWork,
  kTakeovers,
  kTakeoverTime,
  kTakeoverWait,
  kWorkersUnanswered,
  kOutdatedAnswers,
  kMessagesForOtherRuns,
  kAdviceTime,
  kWorkersAvoided,
  kRelaysPaused,
  kQueueLength,
  kWorkersUsable,
  kFreeCores,
  kOpenAdviceQueries,
  kOpenCalls,
  kEventsWaiting,
  kSubmissionsLookedAt,
  kWorkersLookedAt,
  kHandlingErrors,
  kTablesVersion,
  kTablesUnconfirmed,
  kQuotaUsedCores,
  kQuotaWaits,
  kExpectedRunTime,
  kRunTimeError,
  kRunTimesSkipped,
  kRunTimeSketches,
  kBeyondShare,
  kQueueRejections,
  kQueueAheadTime,
  kIsLeading,
};

constexpr std::size_t kMetricCount =
    static_cast<std::size_t>(Metric::kIsLeading) + 1;

enum class MetricType { kCounter, kGauge, kHistogram };

/// How a metric is exposed.
struct MetricInfo {
  Metric metric;
  MetricType type;
  std::string_view name;
  /// Name of the label that distinguishes its series; empty: a single series.
  std::string_view label;
  std::string_view help;
};

/// Returns the description of a metric; every metric has one.
const MetricInfo& InfoOf(Metric metric);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_METRIC_H_
