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
/// `turn` counts the picks of the shard.
using MinionChoice = std::function<const Minion*(
    const std::vector<const Minion*>&, std::uint64_t turn, Random&)>;

/// What the place of a request in the queue may depend on.
struct QueueEntry {
  TimePoint arrived;
  TimePoint deadline;
  Duration expected_run_time{};
  ServiceClass service_class = ServiceClass::kShort;
};

/// The place of a request in the queue: the earliest point goes first. It
/// does not change while the request waits.
using QueueOrder = std::function<TimePoint(const QueueEntry&)>;

/// Whether a request that would wait and run for so long is taken, given the
/// time that its caller leaves.
using AdmissionRule =
    std::function<bool(Duration wait, Duration run_time, Duration time_left)>;

/// Picks the slot of a worker that has room for a task; unset: none has.
using WorkerChoice = std::function<std::optional<std::size_t>(
    const PlacementIndex&, const Resources&, Random&)>;

/// Turns the operators' text into tables, or says what is wrong with it.
using TablesParser = std::function<Result<Tables>(const TablesRecord&)>;

/// Behaviour that varies, by the names that the tables use.
struct Hooks {
  std::map<std::string, MinionChoice> minion_choices;
  std::map<std::string, WorkerChoice> worker_choices;
  std::map<std::string, QueueOrder> queue_orders;
  std::map<std::string, AdmissionRule> admission_rules;
  TablesParser parse_tables;
};

/// The built-in policies; the parser is left to the caller.
Hooks DefaultHooks();

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_HOOKS_H_
