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

/// A task at the home of its job. The first group of members is what the
/// stream says; the second is kept by the owner alone.
struct Task {
  TaskId id;
  Resources demand;
  /// Highest attempt with an intent; 0 before the first.
  Attempt attempt;
  TaskResult result = TaskResult::kNone;
  std::uint32_t failures = 0;
  HostName worker;
  ShardId place;
  /// Epoch of the place when it granted the room.
  Epoch granted_by;

  /// The intent of the next attempt was appended and not yet read back.
  bool intending = false;
  /// The outcome was appended and not yet read back.
  bool ending = false;
  /// The worker listed the attempt as running.
  bool running = false;
  /// Waits out the backoff until then.
  TimePoint not_before;
  /// When the place of the attempt was last asked about it.
  std::optional<TimePoint> confirmed_at;
  HoldId hold;
  std::string detail;
};

/// A caller that waits for a job to be accepted or to end.
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
  /// The record was read back.
  bool accepted = false;
  bool cancelled = false;
  /// A cancel was appended and not yet read back.
  bool cancelling = false;
  TimePoint submitted;
  /// Place in the queue: a higher priority counts as an earlier arrival, so
  /// that a waiting job gains on later ones of a higher priority.
  TimePoint rank;
  std::uint64_t sequence = 0;
  std::vector<Task> tasks;
  /// Why it waits, in plain words.
  std::string reason;
  /// No host or quota can ever hold it; looked at again when those change.
  bool never_fits = false;
  /// A task of the gang failed for good.
  bool given_up = false;
  /// Not asked of other shards before then.
  TimePoint spill_not_before;
  std::uint32_t spill_failures = 0;
  bool reserving = false;
  /// Room is being made for it by preemption until then.
  TimePoint preempting_until;
  std::vector<JobWaiter> waiters;
  std::optional<TimePoint> ended;
};

/// Order of the queue.
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
  /// The intent was appended and not yet read back: nothing may be sent.
  kIntending,
  /// The intent stands; the worker has not listed the attempt yet.
  kStarting,
  kRunning,
  /// The outcome was appended and not yet read back.
  kEnding,
  /// The outcome stands; the home has not acknowledged it yet.
  kEnded,
};

using PlacedHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// An attempt at the shard of its worker.
struct PlacedTask
    : PlacedHook,
      boost::intrusive_ref_counter<PlacedTask, boost::thread_unsafe_counter> {
  TaskStart start;
  ShardId home;
  PlacedPhase phase = PlacedPhase::kIntending;
  bool stopping = false;
  /// Saves its progress before it is stopped.
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
  /// The own epoch does not stand at the worker yet.
  kUnfenced,
  /// Tasks without an intent run there and are being stopped.
  kStoppingUnknown,
  /// What runs there is known: tasks may be placed.
  kReady,
};

/// A worker of a shard that this process owns.
struct Worker {
  HostName name;
  std::string address;
  Resources capacity;
  /// Of all attempts that have not ended, and of all holds.
  Resources reserved;
  bool leaving = false;
  std::optional<TimePoint> leaving_since;
  WorkerPhase phase = WorkerPhase::kUnfenced;
  bool calling = false;
  /// The last call got no answer: nothing is started or renewed before one.
  bool silent = true;
  TimePoint next_call;
  std::optional<TimePoint> last_answer;
  /// No call that was sent can prolong a lease after this point.
  TimePoint renewable_until;
  /// The same before the call that is under way.
  TimePoint renewable_before;
  /// Starts that failed one after another.
  std::uint32_t failures = 0;
  std::uint32_t ejections = 0;
  std::optional<TimePoint> ejected_until;
  /// Back from an ejection and not yet trusted with more than one task.
  bool on_probation = false;
  std::set<TaskAttempt> unknown;
  PlacedList tasks;
  /// In the shard's placement index.
  std::size_t slot = 0;
};

/// Room held for another shard's job.
struct Hold {
  ShardId home;
  TimePoint until;
  std::map<TaskAttempt, TaskGrant> grants;
  std::map<TaskAttempt, Resources> demands;
};

/// What this process knows of one shard of a worker pool.
struct JobShard {
  PoolName pool;
  /// Jobs at home here.
  std::map<JobId, JobPtr> jobs;
  JobQueue queue;
  /// Attempts on the workers of the shard.
  std::map<TaskAttempt, PlacedTaskPtr> placed;

  std::map<HostName, Worker> workers;
  /// Names by slot of the index.
  std::vector<HostName> slots;
  PlacementIndex index;
  std::map<HoldId, Hold> holds;
  /// Highest epoch of other homes that was heard of.
  std::map<ShardId, Epoch> home_epochs;
  /// When the previous owner had surely ceased to act.
  TimePoint previous_owner_ceased;
  std::uint64_t next_sequence = 1;
  /// Workers to be called at the end of the event.
  std::set<HostName> due;
  /// Intents of other shards' workers were read back and are to be confirmed.
  bool confirm_due = false;
  /// When the tasks elsewhere are looked at again.
  TimePoint next_watch;
  /// The distinct capacities of the pool's hosts, and the tables they were
  /// compared with: what can never run depends on these.
  std::vector<Resources> capacities;
  Resources total_capacity;
  TablesVersion checked_tables;
  /// Something changed that may let a waiting job start.
  bool dirty = false;
};

/// A round that asks shards for room for a job.
struct Reservation {
  HoldId hold;
  ShardId home;
  JobId job;
  std::vector<TaskDemand> missing;
  std::vector<TaskGrant> grants;
  /// Shard of each grant.
  std::map<TaskAttempt, ShardId> places;
  /// Shards still to be asked, in order.
  std::vector<ShardId> next;
  ShardId asked;
  TimePoint until;
};

/// A job call of a caller of this process.
struct JobCaller {
  JobOperation operation = JobOperation::kStatus;
  JobSpec spec;
  TimePoint deadline;
  /// Home shards still to be asked; the first is asked now.
  std::vector<ShardId> targets;
  /// The process that was asked.
  NodeName asked;
  std::vector<JobStatus> found;
};

struct JobsState {
  std::map<ShardId, JobShard> shards;
  std::map<CallId, JobCaller> callers;
  std::map<HoldId, Reservation> reservations;
  /// By team: what the home shards of this process have reserved.
  std::map<TeamName, Resources> usage;
  /// Calls to workers that are under way.
  std::size_t worker_calls = 0;
  std::uint64_t next_hold = 1;
  std::uint64_t next_job = 1;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_JOBS_H_
