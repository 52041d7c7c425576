#ifndef BASILSPREAD_CORE_SUBMISSIONS_H_
#define BASILSPREAD_CORE_SUBMISSIONS_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspread/core/admission.h"
#include "basilspread/core/fair_share.h"
#include "basilspread/core/fleet.h"
#include "basilspread/core/leadership.h"
#include "basilspread/core/queue_rank.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/quota.h"
#include "basilspread/core/relays.h"
#include "basilspread/core/run_times.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/submission_record.h"
#include "basilspread/core/time.h"

namespace basilspread {

enum class RunPhase {
  kWaiting,
  /// The start was sent and its response is outstanding or lost.
  kStarting,
  kRunning,
  kSucceeded,
};

/// A numbered run of a known task on a worker.
struct RunOnWorker {
  HostName worker;
  Attempt run;

  friend auto operator<=>(const RunOnWorker&, const RunOnWorker&) = default;
};

/// A task and its current run.
struct RunState {
  RunPhase phase = RunPhase::kWaiting;
  /// The current run, or the last one.
  Attempt run;
  /// Highest number of a run so far, by any leader; the next run has a higher
  /// one.
  Attempt highest_run;
  /// Runs that failed. A gang keeps them at its first member only.
  std::set<Attempt> failed_runs;
  /// Other runs that may have failed, until their workers list them or their
  /// leases have lapsed.
  std::set<RunOnWorker> unresolved_runs;
  /// Set from the start of a run until its end is known.
  HostName worker;
  /// When the start was confirmed; any poll sent later must list the run.
  std::optional<TimePoint> start_confirmed_at;
  /// Fence of a start whose response was lost; a poll under a higher fence
  /// settles whether the run exists.
  std::optional<std::uint64_t> unconfirmed_start_fence;
  std::string checkpoint;
  /// The run is known from the work log only and may have ended.
  bool is_from_log = false;
  bool stopping = false;
  /// When the worker was first known to run it.
  TimePoint started_at;
  /// Whether the worker has reported progress of this run. The next fields are
  /// the first and the latest value, and when the value last changed.
  bool has_reported_progress = false;
  std::uint32_t first_percent = 0;
  std::uint32_t percent = 0;
  TimePoint progressed_at;
  /// The run resumed from a checkpoint, so that its run time is not
  /// representative.
  bool resumed = false;
  /// The run began before this leader first listed it, at an unknown time.
  bool has_unknown_start = false;
  /// Runs of the task that were stopped since they made no progress, after the
  /// last one that made some.
  std::uint32_t stuck_runs = 0;
  /// Workers where runs of the task failed; others are preferred.
  std::set<HostName> failed_on;
  /// The next members are used for long-running tasks. Consecutive runs that
  /// ended before they were at work, and when the task may start again.
  std::uint32_t failed_startups = 0;
  TimePoint start_not_before;
  /// When the task ceased to be at work; unset while it is at work, and before
  /// it was at work for the first time.
  std::optional<TimePoint> unavailable_since;
};

/// The advisor's permission to run tasks of one step on a worker.
struct TicketState {
  std::string ticket;
  TimePoint valid_until;
};

/// Why tasks of a step were not placed by the last pass that considered it.
enum class WaitReason {
  kNotConsidered,
  /// The record of the submission is not stored yet.
  kAcceptance,
  /// A previous leader may have started the tasks on a worker that does not
  /// answer.
  kInherited,
  /// The leader has no recent proof that it still leads.
  kUnproven,
  /// Startups of the tasks failed, and the next start is delayed.
  kRestartDelay,
  /// Earlier runs whose outcome is unknown may have used up the attempts.
  kUnknownOutcome,
  /// An advice query about the step is outstanding.
  kAdvice,
  /// Every asker's backlog of advice queries is full.
  kAdvisorBusy,
  /// No set of allowed workers has room for the whole gang.
  kGang,
  /// The pool has too few workers for the whole gang, even when they are idle.
  kBeyondPool,
  /// The workspace's tasks use up its quota.
  kQuota,
  /// The workspace's quota in force cannot hold the whole gang.
  kBeyondQuota,
  /// No worker that the step may use has room.
  kRoom,
};

/// Stable name for metrics, for example "advisor-busy".
const char* NameOf(WaitReason reason);

/// Learned run times of a step's tasks.
struct StepEstimate {
  /// Of a single task, and of the longest of those that have not succeeded.
  Duration task{};
  Duration longest{};
  TimePoint made_at;
};

struct StepState {
  std::vector<RunState> tasks;
  /// Unset without learned run times.
  std::optional<StepEstimate> estimate;
  std::uint32_t succeeded = 0;
  /// Workers that may run the step. The advisor's verdict on a worker never
  /// changes, but tickets expire.
  std::map<HostName, TicketState> allowed;
  std::set<HostName> forbidden;
  /// Outstanding queries about the step.
  std::set<std::uint64_t> advice_queries;
  /// Earliest time of the next query.
  TimePoint ask_not_before;
  /// A member of the gang ended or could not be started. The other members are
  /// stopped and the gang restarts.
  bool gang_broken = false;
  WaitReason wait_reason = WaitReason::kNotConsidered;
  std::optional<TimePoint> gang_started_at;
};

/// State of a submission at the leader.
struct Submission
    : boost::intrusive_ref_counter<Submission, boost::thread_unsafe_counter> {
  SubmissionId id;
  /// Unset while only its progress has been read from the log; stays unset if
  /// the submission has ended, unless its specification was retained.
  SubmissionSpecPtr spec;
  QueuePolicy policy;
  RouteName route;
  /// Usage of its workspace; null if it has none.
  WorkspaceUsagePtr usage;
  /// It exceeded the share of its workspace when it was accepted.
  bool is_beyond_share = false;
  SubmissionState state = SubmissionState::kQueued;
  /// Whether `state` is stored; a terminal state is reported only then.
  bool is_stored = false;
  bool accepted = false;
  /// It was cancelled before it arrived. Kept so that a call that submits it
  /// later is rejected.
  bool cancelled_early = false;
  bool has_started = false;
  /// SubmissionsState::waiting counts it.
  bool is_counted_waiting = false;
  /// Read from the log, so that an earlier leader may have started its tasks.
  bool inherited = false;
  /// Epoch of the leader that accepted it; 0: unknown.
  Epoch accepted_epoch;
  TimePoint arrived;
  /// Set while the submission is queued.
  std::optional<QueueRank> queue_rank;
  /// Its work in AdmissionState::pools; set while the submission is queued.
  std::optional<CountedWork> counted_work;
  /// The next placement pass considers the submission.
  bool is_due = false;
  std::vector<StepState> steps;
  /// Callers that wait until the acceptance or the cancellation is stored.
  std::vector<std::pair<ProcessId, CallId>> submitters;
  std::vector<std::pair<ProcessId, CallId>> cancellers;
  /// Callers that asked for the state and wait for the end of the submission.
  std::vector<std::pair<ProcessId, CallId>> status_callers;
  TimePoint ended_at;
  /// Progress read from the log, kept until the specification is read as well.
  std::vector<TaskProgress> loaded_progress;
};

using SubmissionPtr = boost::intrusive_ptr<Submission>;

/// A call from a caller of this process that is not answered yet.
struct OpenCall {
  SubmissionCall message;
  TimePoint arrived;
  TimePoint deadline;
  /// Earliest time of the next attempt to send it.
  TimePoint send_not_before;
  /// Processes that may have processed the call, with the number of copies sent
  /// there and not declined.
  std::map<ProcessId, std::uint32_t> recipients;
};

/// A process that queries the advisor and makes calls to workers on behalf of
/// the leader.
struct Helper {
  ProcessId process;
  std::string address;
  Capacity capacity;
  /// Whether the process is a member of the leader group.
  bool is_candidate = false;
  double busy_share = 0;
  ZoneName zone;
  bool carries_calls = false;
  TimePoint heard_at;
  /// Consecutive reports with `misses_leader` set.
  std::uint32_t reports_missing_leader = 0;
  /// Value of `helper_changes` that was last sent to the process.
  std::uint64_t sent_helper_changes = 0;
  /// Advice queries that the process has not answered.
  std::uint32_t open_queries = 0;
  /// Estimated completion of all queries sent to the process, by their known
  /// costs.
  TimePoint busy_until;
};

/// An outstanding query to the advisor.
struct AdviceQuery {
  SubmissionId submission;
  std::uint32_t step = 0;
  /// Queue rank of the submission and the resources it needed at the query.
  QueueRank rank;
  Resources requested_resources;
  ProcessId asker;
  std::vector<HostName> workers;
  TimePoint give_up_at;
};

/// Share of the queried workers that the advisor allows, for one route.
struct AdviceStatistics {
  double allowed_share = 0.5;
};

/// State of submission scheduling.
struct SubmissionsState {
  LeadershipState leadership;
  QueueTablesState tables;
  WorkLogState log;
  FleetState fleet;
  QuotaState quota;
  FairShareState fair_share;
  AdmissionState admission;
  /// Workers on which earlier leaders may have started tasks.
  std::map<HostName, WorkerRecord> inherited_workers;
  /// Submissions with a record that cannot be read; only while the work log is
  /// loaded.
  std::set<SubmissionId> unreadable;
  std::map<SubmissionId, SubmissionPtr> all;
  /// Number of accepted submissions by route of which nothing has started.
  std::map<RouteName, std::uint32_t> waiting;
  /// Submissions with tasks to place, the most urgent first.
  std::set<std::pair<QueueRank, SubmissionId>> queue;
  /// Queued submissions that the next placement pass considers.
  std::vector<SubmissionId> due;
  /// Queued submissions that need advice while every asker's backlog is full.
  std::set<std::pair<QueueRank, SubmissionId>> awaiting_advisor;
  /// Gangs with some members placed and others waiting.
  std::set<SubmissionId> partial_gangs;
  /// Submissions with status callers, by the time at which these are answered.
  std::multimap<TimePoint, SubmissionId> status_waits;
  /// Workers whose capacity is claimed for a gang that does not fit yet.
  std::map<SubmissionId, std::vector<HostName>> claims;
  /// Next sweep of the queue for changes without an event, and the last entry
  /// that a sweep visited.
  TimePoint next_sweep;
  std::pair<QueueRank, SubmissionId> last_swept;
  std::map<CallId, OpenCall> calls;
  std::map<NodeName, Helper> helpers;
  /// Number of changes of `helpers`.
  std::uint64_t helper_changes = 0;
  std::map<std::uint64_t, AdviceQuery> advice_queries;
  std::map<RouteName, AdviceStatistics> advice;
  RunTimesState run_times;
  std::uint64_t last_query_number = 0;
  /// Queries that this process sends on behalf of a leader, by number.
  std::map<std::uint64_t, ProcessId> relayed_queries;
  RelayAgentState relay;
  bool placement_due = false;
  TimePoint next_report;
  /// End of the back-off of routes and workspaces whose submissions the leader
  /// rejected as overloaded.
  std::map<std::pair<RouteName, WorkspaceName>, TimePoint> refused_until;
  /// While stopping: when callers are refused, and when open calls are no
  /// longer waited for.
  TimePoint refuse_calls_from;
  TimePoint stop_by;
  TimePoint next_expiry_check;
  TimePoint next_gauge_update;
  /// Next recomputation of the queue's ranks.
  TimePoint next_ranking;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSIONS_H_
