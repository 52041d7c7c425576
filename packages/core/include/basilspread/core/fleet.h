#ifndef BASILSPREAD_CORE_FLEET_H_
#define BASILSPREAD_CORE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/hands.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

struct FleetWorker;

/// Orders the workers of a pool by the processor time that is not reserved.
struct FreeCpuKey {
  std::int64_t free_cpu_millicores = 0;
  std::uint32_t number = 0;
  FleetWorker* worker = nullptr;

  friend auto operator<=>(const FreeCpuKey&, const FreeCpuKey&) = default;
};

/// The room of a pool's workers, whether or not they may be used now.
struct PoolFreeCapacity {
  std::set<FreeCpuKey> workers;
  Resources free;
};

/// A worker as its only placer, the leader, knows it.
struct FleetWorker {
  WorkerEntry entry;
  /// Tells the workers of a leadership apart.
  std::uint32_t number = 0;
  /// Where it stands among the workers of its pool; unset: nowhere.
  std::optional<FreeCpuKey> index_key;
  PoolName indexed_pool;
  Resources indexed_free;
  /// Submissions that wait and may run there.
  std::set<SubmissionId> waiting_submissions;
  /// A gang for which its room is kept.
  std::optional<SubmissionId> claimed_by;
  /// The store no longer lists it.
  bool unlisted = false;
  /// The work log names it, so that the next leader looks at it even if it is
  /// not listed; nothing is started there before.
  bool is_recorded = false;
  /// Looked at under the present fence, so that all its runs are known. Those
  /// that are not are counted in FleetState.
  bool is_reconciled = false;
  /// Number of the fence within the leader's epoch.
  std::uint32_t fence_step = 0;
  /// The last look had no answer: nothing is started or renewed before one.
  bool is_silent = false;
  /// Looks that are not answered yet.
  std::uint32_t polls = 0;
  /// Unset: nothing there needs a look.
  std::optional<TimePoint> next_poll;
  /// Runs whose stop it refused, and when that is repeated.
  std::set<RunName> refused_stops;
  std::optional<TimePoint> next_stop;
  /// When there is something to do for it; its place in FleetState::due.
  std::optional<TimePoint> due_at;
  /// Its clock, as last told, and when that was.
  WorkerTime clock{};
  std::optional<TimePoint> clock_read_at;
  /// No lease there ends later than this; unset: none was given.
  std::optional<TimePoint> leased_until;
  /// The process that makes the calls to it; unset: the leader itself.
  std::optional<ProcessId> hand;
  /// HandsState::changes when that was chosen.
  std::uint64_t hand_chosen_at = 0;
  /// Processes through which calls to it were lost since the last answer.
  std::set<NodeName> lost_through;
  /// The last look was lost with its hand, which was not held against it.
  bool lost_poll_excused = false;
  /// Runs that occupy room, with what each reserves.
  std::map<RunName, Resources> runs;
  Resources reserved;
  /// Those of the runs that no submission wants, and whose room is therefore
  /// unknown: nothing is started beside them.
  std::set<RunName> orphans;
  /// Highest end that was seen, and the highest that is stored.
  std::uint64_t seen_end = 0;
  std::uint64_t stored_end = 0;
  std::uint64_t acknowledged_end = 0;
  /// Submissions whose runs failed there since the last success.
  std::set<SubmissionId> failed_for;
  /// Starts that it refused since the last success.
  std::uint32_t refusals = 0;
  /// How often it was left out since the last success, and until when it is.
  std::uint32_t ejections = 0;
  TimePoint ejected_until;
  /// It was left out, and no run has succeeded there since.
  bool on_probation = false;
};

struct FleetState {
  std::map<HostName, FleetWorker> workers;
  std::map<PoolName, PoolFreeCapacity> free_by_pool;
  std::uint32_t last_number = 0;
  /// Workers whose look is due, or that will be gone, in the order of time.
  std::set<std::pair<TimePoint, HostName>> due;
  /// When the timer fires that is armed for the first of them.
  std::optional<TimePoint> timer_at;
  /// How many of the workers are not known.
  std::size_t unreconciled = 0;
  /// Workers with ends that are not stored.
  std::set<HostName> with_unstored_ends;
  bool is_listed = false;
  Offset next;
  /// Names seen in the listing that is being read.
  std::set<HostName> listing;
  /// When a look of a worker that had answered was last lost.
  std::optional<TimePoint> poll_lost_at;
  /// When what the previous leader started, and no look can tell, has ended.
  std::optional<TimePoint> inherited_leases_end;
  HandsState hands;
  /// Workers that events about looks, leases and stored ends went through.
  std::uint64_t workers_visited = 0;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_FLEET_H_
