#include "basilspread/core/metric.h"

#include <array>

namespace basilspread {
namespace {

using enum MetricType;

constexpr std::array kInfos = {
    MetricInfo{Metric::kCalls, kCounter, "basilspread_calls_total", "outcome",
               "Calls of callers that were answered, by outcome."},
    MetricInfo{Metric::kCallTime, kHistogram, "basilspread_call_seconds",
               "operation", "Time from a call's arrival to its answer."},
    MetricInfo{Metric::kSubmissionsEnded, kCounter,
               "basilspread_submissions_ended_total", "state",
               "Submissions that ended, by final state."},
    MetricInfo{Metric::kSubmissionTime, kHistogram,
               "basilspread_submission_seconds", "route",
               "Time from a submission's arrival at the leader to its end."},
    MetricInfo{Metric::kFirstStartWait, kHistogram,
               "basilspread_first_start_wait_seconds", "route",
               "Time from a submission's arrival to its first start."},
    MetricInfo{Metric::kStepWaitTime, kCounter,
               "basilspread_step_wait_seconds_total", "reason",
               "Time that steps with tasks to place waited, by reason."},
    MetricInfo{Metric::kAcceptTime, kHistogram, "basilspread_accept_seconds",
               "", "Time from a submission's arrival until it was stored."},
    MetricInfo{Metric::kRunsStarted, kCounter, "basilspread_runs_started_total",
               "route", "Starts that were sent to workers."},
    MetricInfo{Metric::kRunsEnded, kCounter, "basilspread_runs_ended_total",
               "end", "Ends of runs that workers listed, by how."},
    MetricInfo{Metric::kRunsLost, kCounter, "basilspread_runs_lost_total",
               "reason", "Runs that went without an end."},
    MetricInfo{Metric::kUnreadableRecords, kCounter,
               "basilspread_unreadable_records_total", "",
               "Records of the work log that a takeover could not read."},
    MetricInfo{Metric::kPreemptions, kCounter, "basilspread_preemptions_total",
               "reason", "Runs that were stopped so that others can run."},
    MetricInfo{Metric::kWastedWork, kCounter,
               "basilspread_work_thrown_away_core_seconds_total", "",
               "Reserved core-seconds of runs that ended without success."},
    MetricInfo{Metric::kUnavailableTime, kHistogram,
               "basilspread_task_unavailable_seconds", "route",
               "Time that a long-running task was not at work."},
    MetricInfo{Metric::kLongRunningTasks, kGauge,
               "basilspread_long_running_tasks", "",
               "Long-running tasks that are to be at work."},
    MetricInfo{Metric::kLongRunningAtWork, kGauge,
               "basilspread_long_running_at_work", "",
               "Long-running tasks that are at work."},
    MetricInfo{Metric::kTakeovers, kCounter, "basilspread_takeovers_total", "",
               "Times that this process came to lead."},
    MetricInfo{Metric::kTakeoverTime, kHistogram,
               "basilspread_takeover_seconds", "",
               "Time from gaining the leadership to placing."},
    MetricInfo{Metric::kTakeoverWait, kGauge,
               "basilspread_takeover_wait_seconds", "",
               "Time until the leases of earlier leaders have lapsed."},
    MetricInfo{Metric::kWorkersUnanswered, kGauge,
               "basilspread_workers_unanswered", "",
               "Workers of which the leader does not know what runs there."},
    MetricInfo{Metric::kOutdatedAnswers, kCounter,
               "basilspread_outdated_answers_total", "call",
               "Answers to calls of an earlier takeover of this process."},
    MetricInfo{Metric::kMessagesForOtherRuns, kCounter,
               "basilspread_messages_for_other_runs_total", "kind",
               "Messages for another run of this process, which were dropped."},
    MetricInfo{Metric::kAdviceTime, kHistogram, "basilspread_advice_seconds",
               "route",
               "Time from a question's turn at its asker to the answer."},
    MetricInfo{Metric::kWorkersAvoided, kCounter,
               "basilspread_workers_avoided_total", "reason",
               "Times that a worker was left out after failures."},
    MetricInfo{Metric::kRelaysPaused, kCounter,
               "basilspread_hands_paused_total", "reason",
               "Times that a process got no calls to workers for a while."},
    MetricInfo{Metric::kQueueLength, kGauge, "basilspread_queue_length", "",
               "Submissions with tasks that wait for a place."},
    MetricInfo{Metric::kWorkersUsable, kGauge, "basilspread_workers_usable", "",
               "Workers on which the leader may start tasks."},
    MetricInfo{Metric::kFreeCores, kGauge, "basilspread_cores_usable", "",
               "Processor cores that are free on usable workers."},
    MetricInfo{Metric::kOpenAdviceQueries, kGauge,
               "basilspread_questions_length", "",
               "Questions to the advisor without an answer."},
    MetricInfo{Metric::kOpenCalls, kGauge, "basilspread_calls_length", "",
               "Calls of this process's callers without an answer."},
    MetricInfo{Metric::kEventsWaiting, kGauge, "basilspread_events_length", "",
               "Most events that waited in the last second."},
    MetricInfo{Metric::kSubmissionsLookedAt, kCounter,
               "basilspread_submissions_looked_at_total", "",
               "Submissions that passes of placement looked at."},
    MetricInfo{Metric::kWorkersLookedAt, kCounter,
               "basilspread_workers_looked_at_total", "",
               "Workers that placement weighed for a step."},
    MetricInfo{Metric::kHandlingErrors, kCounter,
               "basilspread_handling_errors_total", "event",
               "Events whose handling failed unexpectedly."},
    MetricInfo{Metric::kTablesVersion, kGauge, "basilspread_tables_version", "",
               "Version of the tables in force."},
    MetricInfo{Metric::kTablesUnconfirmed, kGauge,
               "basilspread_tables_unconfirmed", "",
               "1 while calls with keys are rejected, since the tables are not "
               "confirmed to be the newest, else 0."},
    MetricInfo{Metric::kQuotaUsedCores, kGauge, "basilspread_quota_used_cores",
               "workspace", "Cores that a workspace's tasks reserve."},
    MetricInfo{Metric::kQuotaWaits, kCounter, "basilspread_quota_waits_total",
               "workspace",
               "Times that a step was not placed for its workspace's quota."},
    MetricInfo{Metric::kExpectedRunTime, kGauge,
               "basilspread_expected_run_time_seconds", "kind",
               "Mean run time learned for a step of a route."},
    MetricInfo{Metric::kRunTimeError, kGauge,
               "basilspread_run_time_error_factor", "kind",
               "Factor by which runs of a step lately missed their estimate."},
    MetricInfo{Metric::kRunTimesSkipped, kCounter,
               "basilspread_run_times_skipped_total", "reason",
               "Finished runs that the estimates did not learn from."},
    MetricInfo{Metric::kRunTimeSketches, kGauge, "basilspread_run_time_kinds",
               "", "Kinds of work with learned run times."},
    MetricInfo{Metric::kBeyondShare, kCounter,
               "basilspread_submissions_beyond_share_total", "workspace",
               "Submissions taken on beyond the share of their workspace."},
    MetricInfo{Metric::kQueueRejections, kCounter,
               "basilspread_queue_rejections_total", "reason",
               "Submissions that were rejected for the length of the queue."},
    MetricInfo{Metric::kQueueAheadTime, kGauge,
               "basilspread_queue_ahead_seconds", "pool",
               "Time that the pool needs to start all waiting tasks."},
    MetricInfo{Metric::kIsLeading, kGauge, "basilspread_is_leading", "",
               "1 while this process places, else 0."},
};

constexpr bool IsInMetricOrder() {
  for (std::size_t i = 0; i < kInfos.size(); ++i) {
    if (static_cast<std::size_t>(kInfos[i].metric) != i) {
      return false;
    }
  }
  return kInfos.size() == kMetricCount;
}

static_assert(IsInMetricOrder(), "every metric has its row, in order");

}  // namespace

const MetricInfo& InfoOf(Metric metric) {
  return kInfos.at(static_cast<std::size_t>(metric));
}

}  // namespace basilspread
