#ifndef BASILSPREAD_CORE_JOBS_H_
#define BASILSPREAD_CORE_JOBS_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/job.h"
#include "basilspread/core/job_message.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/placement.h"
#include "basilspread/core/time.h"
#include "basilspread/core/worker.h"

namespace basilspread {

/// A task at the home shard of its job. The first group of members is restored
/// from the shard's stream; the second is known to the current owner alone.
struct Task {
  TaskId id;
  Resources demand;
  /// Highest attempt that has an intent record; 0 before the first.
  Attempt attempt;
  TaskResult result = TaskResult::kNone;
  std::uint32_t failures = 0;
  HostName worker;
  ShardId place;
  /// Epoch of the owner of `place` that granted the capacity.
  Epoch granted_by;

  /// The intent record of the next attempt was appended and not yet read back.
  bool intending = false;
  /// The outcome record was appended and not yet read back.
  bool ending = false;
  /// The worker listed the attempt as running.
  bool running = false;
  /// End of the backoff after a failed attempt.
  TimePoint not_before;
  /// When the owner of `place` was last asked about the attempt.
  std::optional<TimePoint> confirmed_at;
  HoldId hold;
  std::string detail;
};

/// A caller that waits until a job is accepted or ends.
struct JobWaiter {
  RequestKey caller;
  JobOperation operation = JobOperation::kSubmit;
  TimePoint until;
};

using JobQueueHook = boost::intrusive::set_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A job at its home shard.
struct Job : JobQueueHook,
             boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
  JobSpec spec;
  ShardId home;
  /// Its record was appended and read back.
  bool accepted = false;
  bool cancelled = false;
  /// The cancel record was appended and not yet read back.
  bool cancelling = false;
  TimePoint submitted;
  /// Position in the queue. A higher priority counts as an earlier arrival, so
  /// that a waiting job overtakes jobs of higher priority that arrive much
  /// later.
  TimePoint rank;
  /// Order of arrival; breaks ties of `rank`.
  std::uint64_t sequence = 0;
  std::vector<Task> tasks;
  /// Why it waits, as told to callers.
  std::string reason;
  /// No host or quota can ever hold it; checked again when those change.
  bool never_fits = false;
  /// A task of the gang has used up its attempts.
  bool given_up = false;
  /// No capacity is asked of other shards before then.
  TimePoint spill_not_before;
  std::uint32_t spill_failures = 0;
  /// A Reservation for it is in progress.
  bool reserving = false;
  /// Until then it waits for the capacity of tasks that were preempted for it.
  TimePoint preempting_until;
  std::vector<JobWaiter> waiters;
  std::optional<TimePoint> ended;
};

/// Orders the queue by rank, then by sequence.
struct EarlierRank {
  bool operator()(const Job& left, const Job& right) const {
    return left.rank != right.rank ? left.rank < right.rank
                                   : left.sequence < right.sequence;
  }
};

using JobPtr = boost::intrusive_ptr<Job>;
using JobQueue =
    boost::intrusive::set<Job, boost::intrusive::compare<EarlierRank>,
                          boost::intrusive::constant_time_size<false>>;

enum class PlacedPhase {
  /// The intent record was appended and not yet read back: nothing may be sent.
  kIntending,
  /// The intent is stored; the worker has not listed the attempt yet.
  kStarting,
  kRunning,
  /// The outcome record was appended and not yet read back.
  kEnding,
  /// The outcome is stored; the home shard has not acknowledged it yet.
  kEnded,
};

using PlacedHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// An attempt, as kept at the shard of its worker.
struct PlacedTask
    : PlacedHook,
      boost::intrusive_ref_counter<PlacedTask, boost::thread_unsafe_counter> {
  TaskStart start;
  ShardId home;
  PlacedPhase phase = PlacedPhase::kIntending;
  bool stopping = false;
  /// The task saves its progress before it is stopped.
  bool checkpointing = false;
  TaskResult result = TaskResult::kNone;
  std::string detail;
  std::optional<TimePoint> reported_at;
};

using PlacedTaskPtr = boost::intrusive_ptr<PlacedTask>;
using PlacedList =
    boost::intrusive::list<PlacedTask,
                           boost::intrusive::constant_time_size<false>>;

enum class WorkerPhase {
  /// The worker has not accepted this owner's epoch yet.
  kUnfenced,
  /// Tasks without an intent record run there and are being stopped.
  kStoppingUnknown,
  /// All that runs there is known: tasks may be placed.
  kReady,
};

/// A worker of a shard that this process owns.
struct Worker {
  HostName name;
  std::string address;
  Resources capacity;
  /// Total of all attempts that have not ended and of all holds.
  Resources reserved;
  bool leaving = false;
  std::optional<TimePoint> leaving_since;
  WorkerPhase phase = WorkerPhase::kUnfenced;
  /// A call is in flight.
  bool calling = false;
  /// The last call got no answer. Until one does, nothing is started and no
  /// lease is renewed there.
  bool silent = true;
  TimePoint next_call;
  std::optional<TimePoint> last_answer;
  /// No call that was sent can renew a lease after this point.
  TimePoint renewable_until;
  /// Value of `renewable_until` before the call in flight.
  TimePoint renewable_before;
  /// Consecutive failed starts.
  std::uint32_t failures = 0;
  std::uint32_t ejections = 0;
  std::optional<TimePoint> ejected_until;
  /// Its ejection is over, and it gets one task at a time until one starts.
  bool on_probation = false;
  /// Attempts that it lists and that have no intent record.
  std::set<TaskAttempt> unknown;
  PlacedList tasks;
  /// Its slot in the shard's placement index.
  std::size_t slot = 0;
};

/// Capacity held for another shard's job.
struct Hold {
  ShardId home;
  TimePoint until;
  std::map<TaskAttempt, TaskGrant> grants;
  std::map<TaskAttempt, Resources> demands;
};

/// One shard of a worker pool: its jobs, workers and attempts.
struct JobShard {
  PoolName pool;
  /// Jobs whose home is this shard.
  std::map<JobId, JobPtr> jobs;
  JobQueue queue;
  /// Attempts on the workers of the shard.
  std::map<TaskAttempt, PlacedTaskPtr> placed;

  std::map<HostName, Worker> workers;
  /// Names of the workers by slot of the index.
  std::vector<HostName> slots;
  PlacementIndex index;
  std::map<HoldId, Hold> holds;
  /// Highest known epoch of each other home shard.
  std::map<ShardId, Epoch> home_epochs;
  /// When the previous owner had surely stopped acting on the shard.
  TimePoint previous_owner_ceased;
  std::uint64_t next_sequence = 1;
  /// Workers to be called at the end of the event.
  std::set<HostName> due;
  /// Intent records for workers of other shards were read back, and
  /// ConfirmTasks are due.
  bool confirm_due = false;
  /// When the tasks on workers of other shards are next checked.
  TimePoint next_watch;
  /// The distinct capacities of the pool's hosts, their total, and the version
  /// of the tables: Job::never_fits was computed from these.
  std::vector<Resources> capacities;
  Resources total_capacity;
  TablesVersion checked_tables;
  /// A change may let a waiting job start.
  bool dirty = false;
};

/// A round of requests to shards for capacity for a job.
struct Reservation {
  HoldId hold;
  ShardId home;
  JobId job;
  std::vector<TaskDemand> missing;
  std::vector<TaskGrant> grants;
  /// The shard of each grant.
  std::map<TaskAttempt, ShardId> places;
  /// Shards still to be asked, in order.
  std::vector<ShardId> next;
  ShardId asked;
  TimePoint until;
};

/// A job call that a caller made to this process.
struct JobCaller {
  JobOperation operation = JobOperation::kStatus;
  JobSpec spec;
  TimePoint deadline;
  /// Home shards still to be asked; the first is being asked.
  std::vector<ShardId> targets;
  /// The process that was asked.
  NodeName asked;
  std::vector<JobStatus> found;
};

struct JobsState {
  std::map<ShardId, JobShard> shards;
  std::map<CallId, JobCaller> callers;
  std::map<HoldId, Reservation> reservations;
  /// What jobs of each team have reserved, over the home shards that this
  /// process owns.
  std::map<TeamName, Resources> usage;
  /// Calls to workers in flight.
  std::size_t worker_calls = 0;
  std::uint64_t next_hold = 1;
  std::uint64_t next_job = 1;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOBS_H_
