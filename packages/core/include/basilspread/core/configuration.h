#ifndef BASILSPREAD_CORE_CONFIGURATION_H_
#define BASILSPREAD_CORE_CONFIGURATION_H_

#include <map>
#include <optional>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"
#include "basilspread/core/tables_history.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// The published tables as this process has read and applied them.
struct ConfigurationState {
  /// Tables in force; version 0 until the first tables have been read. Includes
  /// removed routes and pools while they drain.
  Tables tables;
  /// The record that `tables` was parsed from.
  TablesRecord source;
  /// Decides which edits are accepted, by their order in the log.
  TablesHistory history;
  /// Why the newest accepted version could not be applied; empty when it is in
  /// force.
  std::string apply_error;
  /// Set once the tables stream has been read to its end.
  bool read_to_end = false;
  /// Offset after the last record read.
  Offset next;
  /// When a record that holds the newest version was last read; unset before
  /// the first.
  std::optional<TimePoint> newest_version_read_at;
  /// When each removed row is dropped: by then no request of it is left.
  std::map<RouteName, TimePoint> route_drain_ends;
  std::map<PoolName, TimePoint> pool_drain_ends;
};

/// Checks whether `next` may replace the tables in force. The shard count of a
/// pool must not change, because streams, claims and jobs are bound to its
/// shards. Returns every violation, one per line; empty when there is none.
std::string CheckTablesChange(const Tables& in_force, const Tables& next);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CONFIGURATION_H_
