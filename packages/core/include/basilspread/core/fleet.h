#ifndef BASILSPREAD_CORE_FLEET_H_
#define BASILSPREAD_CORE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/quota.h"
#include "basilspread/core/relays.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

struct FleetWorker;

/// Orders the workers of a pool by unreserved processor time, then by number.
struct FreeCpuKey {
  std::int64_t free_cpu_millicores = 0;
  std::uint32_t number = 0;
  FleetWorker* worker = nullptr;

  friend auto operator<=>(const FreeCpuKey&, const FreeCpuKey&) = default;
};

/// Free capacity of a pool's workers, including those that are not usable now.
struct PoolFreeCapacity {
  std::set<FreeCpuKey> workers;
  /// Total over the workers.
  Resources free;
};

/// A start that the incarnation which answers polls is not known to have
/// carried out.
struct UnattributedStart {
  std::uint64_t fence = 0;
  /// Unset while it has no answer.
  std::optional<TimePoint> answered_at;
};

/// The leader's view of a worker. Only the leader places tasks on workers.
struct FleetWorker {
  /// The newest entry in the store. It may describe an earlier incarnation.
  WorkerEntry entry;
  /// The latest incarnation that is known, from an entry or an answer.
  std::uint64_t incarnation = 0;
  /// Unique during one term of leadership; breaks ties in FreeCpuKey.
  std::uint32_t number = 0;
  /// Its key in FleetState::free_by_pool; unset while it has no entry there.
  std::optional<FreeCpuKey> index_key;
  /// Pool and free capacity under which that entry was made.
  PoolName indexed_pool;
  Resources indexed_free;
  /// Waiting submissions that may run there.
  std::set<SubmissionId> waiting_submissions;
  /// The gang for which its free capacity is kept.
  std::optional<SubmissionId> claimed_by;
  /// The store's worker list no longer has it.
  bool unlisted = false;
  /// The work log has a record of it, so that the next leader polls it even if
  /// the store no longer lists it. Nothing is started there before.
  bool is_recorded = false;
  /// The newest record states that nothing is started there any more; see
  /// WorkerRecord::is_closed.
  bool is_recorded_closed = false;
  /// No leader of this epoch or a later one has started anything there; 0:
  /// unknown, or the worker has answered this leader.
  Epoch unused_since;
  /// The newest record states `unused_since`; see WorkerRecord::unused_since.
  bool is_recorded_unused = false;
  /// The worker has not answered this leader, and the work log lists all that
  /// may run there.
  bool has_known_runs = false;
  /// It has answered a poll under the current fence, so all its runs are known.
  /// FleetState::unanswered has the workers that have not.
  bool is_reconciled = false;
  /// The last answer may have lacked ends; see WorkerPolled.
  bool may_have_more_ends = false;
  /// A poll that acknowledges ends was sent under the current fence and may
  /// still be carried out.
  bool has_open_acknowledgement = false;
  /// A poll was lost since; it may be that one.
  bool may_have_lost_acknowledgement = false;
  /// The last poll failed. Until one succeeds, nothing is started and no lease
  /// is renewed there.
  bool is_silent = false;
  /// The last poll was lost together with the process that made it, and was
  /// not counted as a failure of the worker. A second one is.
  bool lost_poll_excused = false;
  /// Part of the fence below the leader's epoch.
  std::uint32_t fence_step = 0;
  /// Polls in flight.
  std::uint32_t polls = 0;
  /// Unset when no poll is needed.
  std::optional<TimePoint> next_poll;
  /// Runs whose stop the worker refused, and when the stops are repeated.
  std::set<RunName> refused_stops;
  std::optional<TimePoint> next_stop;
  /// Time of its entry in FleetState::due; unset when it has none.
  std::optional<TimePoint> due_at;
  /// The worker's clock at the last poll, and when the answer arrived.
  WorkerTime clock{};
  std::optional<TimePoint> clock_read_at;
  /// Upper bound of the end of all leases there; unset: no lease was granted.
  std::optional<TimePoint> leased_until;
  /// The process that makes the calls to it; unset: the leader.
  std::optional<ProcessId> relay;
  /// Value of RelaysState::changes when `relay` was chosen.
  std::uint64_t relay_chosen_at = 0;
  /// Processes that lost calls to it since its last answer.
  std::set<NodeName> lost_through;
  /// Runs that occupy capacity, with what each reserves.
  std::map<RunName, RunReservation> runs;
  Resources reserved;
  /// Part of `reserved` that long-running tasks hold.
  Resources long_running;
  /// Runs that belong to no submission. What they use is unknown, so nothing is
  /// started on the worker until they have ended.
  std::set<RunName> orphans;
  /// Highest ListedEnd::number that was received, that is stored in the work
  /// log, and that the worker has discarded.
  std::uint64_t seen_end = 0;
  std::uint64_t stored_end = 0;
  std::uint64_t acknowledged_end = 0;
  /// When the latest poll that this incarnation answered was sent.
  std::optional<TimePoint> alive_at;
  /// Starts that the next incarnation may have carried out, which numbers its
  /// ends and counts its time anew. Meanwhile no end is acknowledged and no
  /// lease is renewed.
  std::map<RunName, UnattributedStart> unattributed_starts;
  /// Submissions whose runs failed there since the last success.
  std::set<SubmissionId> failed_for;
  /// Starts that it refused since the last success.
  std::uint32_t refusals = 0;
  /// Ejections since the last success, and the end of the current one.
  std::uint32_t ejections = 0;
  TimePoint ejected_until;
  /// It was ejected, and no run has succeeded there since.
  bool on_probation = false;
};

/// The leader's view of all workers.
struct FleetState {
  std::map<HostName, FleetWorker> workers;
  std::map<PoolName, PoolFreeCapacity> free_by_pool;
  /// Highest FleetWorker::number in use.
  std::uint32_t last_number = 0;
  /// Workers by the time of their next action: a poll, the repetition of a
  /// stop, or their removal.
  std::set<std::pair<TimePoint, HostName>> due;
  /// When the timer that is armed for the first of them fires.
  std::optional<TimePoint> timer_at;
  /// Workers that are not reconciled and whose runs are not known.
  std::set<HostName> unanswered;
  /// Workers with runs of which RunReservation::is_unattributed is set.
  std::set<HostName> with_unattributed;
  /// Workers that reported ends which are not stored yet.
  std::set<HostName> with_unstored_ends;
  /// Workers that answer, but have not listed all ends to this leader: a task
  /// that looks as if it had to start may have succeeded there.
  std::set<HostName> with_unread_ends;
  /// The store's list was read to its end at least once, and when it was first:
  /// the workers that only the list names were polled then.
  bool is_listed = false;
  TimePoint listed_at;
  /// Where to go on following the changes of the list.
  Offset next;
  /// The list is to be read again, or its changes are to be followed on; timers
  /// of an earlier takeover do neither.
  bool awaits_retry = false;
  bool awaits_follow = false;
  /// Names in the listing that is being read, over all its pages so far.
  std::set<HostName> listing;
  /// When a poll of a worker that had been answering was last lost.
  std::optional<TimePoint> poll_lost_at;
  /// When the leases of runs that an earlier leader may have started on workers
  /// that do not answer have surely ended; unset: no such wait.
  std::optional<TimePoint> inherited_leases_end;
  /// Inherited tasks wait; reset once the end of the wait was logged.
  bool holds_inherited = false;
  RelaysState relays;
  /// Workers visited by events about polls, leases and stored ends; bounds the
  /// cost of an event in tests.
  std::uint64_t workers_visited = 0;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_FLEET_H_
