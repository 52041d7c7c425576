#ifndef BASILSPREAD_CORE_HOOKS_H_
#define BASILSPREAD_CORE_HOOKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/random.h"
#include "basilspread/core/record.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"
#include "basilspread/core/time.h"

namespace basilspread {

class PlacementIndex;
struct Minion;

/// Picks one of the minions that have a free slot; the list is never empty.
/// `turn` is the number of picks made for the shard so far.
using MinionChoice = std::function<const Minion*(
    const std::vector<const Minion*>&, std::uint64_t turn, Random&)>;

/// The attributes of a request that its position in the queue may depend on.
struct QueueEntry {
  TimePoint arrived;
  TimePoint deadline;
  Duration expected_run_time{};
  ServiceClass service_class = ServiceClass::kShort;
};

/// Sort key of a request in the queue: the earliest time goes first. It is
/// computed once, when the request is queued.
using QueueOrder = std::function<TimePoint(const QueueEntry&)>;

/// Whether to admit a request, given its expected wait and run time and the
/// time left until its deadline.
using AdmissionRule =
    std::function<bool(Duration wait, Duration run_time, Duration time_left)>;

/// Returns the slot of a worker with enough free resources for a task; unset
/// if there is none.
using WorkerChoice = std::function<std::optional<std::size_t>(
    const PlacementIndex&, const Resources&, Random&)>;

/// Parses the operators' configuration text into tables, or returns an error
/// that describes the fault.
using TablesParser = std::function<Result<Tables>(const TablesRecord&)>;

/// The configurable policies, keyed by the names that the tables refer to.
struct Hooks {
  std::map<std::string, MinionChoice> minion_choices;
  std::map<std::string, WorkerChoice> worker_choices;
  std::map<std::string, QueueOrder> queue_orders;
  std::map<std::string, AdmissionRule> admission_rules;
  TablesParser parse_tables;
};

/// Returns the built-in policies; the caller must set `parse_tables`.
Hooks DefaultHooks();

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_HOOKS_H_
