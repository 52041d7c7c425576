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

#include "basilspread/core/fleet.h"
#include "basilspread/core/hands.h"
#include "basilspread/core/leadership.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/submission_record.h"
#include "basilspread/core/time.h"

namespace basilspread {

enum class RunPhase {
  kWaiting,
  /// The start was sent and is not answered, or its answer was lost.
  kStarting,
  kRunning,
  kSucceeded,
};

/// A task and its present run.
struct RunState {
  RunPhase phase = RunPhase::kWaiting;
  /// The present run, or the last one.
  Attempt run;
  /// Of a gang's, only the first member's is kept.
  std::set<Attempt> failed_runs;
  /// Set from the start of a run until its end is known.
  HostName worker;
  /// When the start's outcome became certain; a look that was sent later
  /// must list the run.
  std::optional<TimePoint> start_confirmed_at;
  /// Set while the start's answer is lost: a look under a higher fence tells.
  std::optional<std::uint64_t> unconfirmed_start_fence;
  std::string checkpoint;
  bool stopping = false;
  /// When its worker was first known to run it.
  TimePoint started_at;
  /// Whether its worker has told how far it is: first, last, and when that
  /// last changed.
  bool has_reported_progress = false;
  std::uint32_t first_percent = 0;
  std::uint32_t percent = 0;
  TimePoint progressed_at;
  /// The run resumes from a checkpoint, so that its time tells nothing of
  /// others.
  bool resumed = false;
  /// Where runs of the task failed: others are tried first.
  std::set<HostName> failed_on;
};

/// What an advisor said of a worker for one step.
struct TicketState {
  std::string ticket;
  TimePoint valid_until;
};

struct StepState {
  std::vector<RunState> tasks;
  std::uint32_t succeeded = 0;
  /// Workers that may run the step. Which ones never changes; their tickets
  /// expire.
  std::map<HostName, TicketState> allowed;
  std::set<HostName> forbidden;
  /// Questions about it that are not answered yet.
  std::set<std::uint64_t> advice_queries;
  /// Not asked again before then.
  TimePoint ask_not_before;
  /// A member of the gang ended or could not be started: the others are
  /// stopped and the gang starts anew.
  bool gang_broken = false;
  std::optional<TimePoint> gang_started_at;
};

/// In the order that they are served in.
enum class QueueTier { kOnTime, kLate, kTooLate };

/// Where a submission stands in the queue; the lowest goes first.
struct QueueRank {
  QueueTier tier = QueueTier::kOnTime;
  /// Until when it may go on and still meet its target.
  TimePoint latest_start;

  friend auto operator<=>(const QueueRank&, const QueueRank&) = default;
};

/// A submission at the leader.
struct Submission
    : boost::intrusive_ref_counter<Submission, boost::thread_unsafe_counter> {
  SubmissionId id;
  /// Unset once it has ended.
  SubmissionSpecPtr spec;
  QueuePolicy policy;
  RouteName route;
  SubmissionState state = SubmissionState::kQueued;
  /// Whether `state` is stored; an ended state is told only then.
  bool is_stored = false;
  bool accepted = false;
  bool has_started = false;
  /// Came from the log: an earlier leader may have started tasks of it.
  bool inherited = false;
  TimePoint arrived;
  /// Set while it is in the queue.
  std::optional<QueueRank> queue_rank;
  /// The next pass looks at it.
  bool is_due = false;
  std::vector<StepState> steps;
  /// Callers that wait for the acceptance or the cancellation to be stored.
  std::vector<std::pair<ProcessId, CallId>> submitters;
  std::vector<std::pair<ProcessId, CallId>> cancellers;
  TimePoint ended_at;
  /// What the log says of its tasks, until its specification is read too.
  std::vector<TaskProgress> loaded_progress;
};

using SubmissionPtr = boost::intrusive_ptr<Submission>;

/// A call of this process's callers that is not answered yet.
struct OpenCall {
  SubmissionCall message;
  TimePoint arrived;
  TimePoint deadline;
  /// Not sent again before then.
  TimePoint send_not_before;
  /// Processes that may have taken it up, with the number of times that it was
  /// sent there and not declined.
  std::map<NodeName, std::uint32_t> recipients;
};

/// A process that asks for advice, and makes calls to workers, on the leader's
/// behalf.
struct Helper {
  ProcessId process;
  std::string address;
  Capacity capacity;
  /// Whether it is a member of the group.
  bool stands = false;
  double busy_share = 0;
  ZoneName zone;
  bool carries_calls = false;
  TimePoint heard_at;
  /// Its reports in a row that miss the leader.
  std::uint32_t reports_missing_leader = 0;
  /// The number of helpers' changes that it was told of.
  std::uint64_t sent_helper_changes = 0;
  /// Questions that it has not answered.
  std::uint32_t open_queries = 0;
  /// When its questions so far will be answered, by their known costs.
  TimePoint busy_until;
};

struct AdviceQuery {
  SubmissionId submission;
  std::uint32_t step = 0;
  /// Where the submission stood in the queue, and the room that it looked for.
  QueueRank rank;
  Resources requested_resources;
  ProcessId asker;
  std::vector<HostName> workers;
  TimePoint give_up_at;
};

/// Share of the workers asked about that an advisor allows, by route.
struct AdviceStatistics {
  double allowed_share = 0.5;
};

/// How long tasks of a kind run, against what their callers expect.
struct RunTimeStatistics {
  /// Mean of measured by expected time.
  double ratio = 1;
  std::uint64_t samples = 0;
};

struct SubmissionsState {
  LeadershipState leadership;
  QueueTablesState tables;
  WorkLogState log;
  FleetState fleet;
  /// Workers on which earlier leaders may have started tasks.
  std::vector<WorkerRecord> inherited_workers;
  std::map<SubmissionId, SubmissionPtr> all;
  /// Those with tasks that are to be placed, the most urgent first.
  std::set<std::pair<QueueRank, SubmissionId>> queue;
  /// Those of the queue that the next pass looks at.
  std::vector<SubmissionId> due;
  /// Those that would ask for advice and could not.
  std::set<std::pair<QueueRank, SubmissionId>> awaiting_advisor;
  /// Gangs of which some members are placed and others wait.
  std::set<SubmissionId> partial_gangs;
  /// Workers whose room is kept for a gang.
  std::map<SubmissionId, std::vector<HostName>> claims;
  /// When the queue is next looked through for what events do not tell, and
  /// the last one that was looked at.
  TimePoint next_sweep;
  std::pair<QueueRank, SubmissionId> last_swept;
  std::map<CallId, OpenCall> calls;
  std::map<NodeName, Helper> helpers;
  /// Counts the changes of `helpers`.
  std::uint64_t helper_changes = 0;
  std::map<std::uint64_t, AdviceQuery> advice_queries;
  std::map<RouteName, AdviceStatistics> advice;
  /// By route and image.
  std::map<std::pair<RouteName, std::string>, RunTimeStatistics> run_times;
  std::uint64_t last_query_number = 0;
  /// Questions that this process asks for the leader, by their numbers.
  std::map<std::uint64_t, ProcessId> relayed_queries;
  HandRelayState relay;
  bool placement_due = false;
  TimePoint next_report;
  /// Routes whose submissions the leader has refused for load, until when.
  std::map<RouteName, TimePoint> refused_until;
  /// Of a stop: from when on callers are refused, and when it no longer waits
  /// for open calls.
  TimePoint refuse_calls_from;
  TimePoint stop_by;
  TimePoint next_expiry_check;
  TimePoint next_gauge_update;
  /// When the queue is next ranked anew.
  TimePoint next_ranking;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSIONS_H_
