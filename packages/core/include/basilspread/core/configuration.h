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

struct ConfigurationState {
  /// In force; version 0 until the first tables were read. Holds the rows of
  /// removed routes and pools too while they drain.
  Tables tables;
  /// The record that `tables` came from.
  TablesRecord source;
  /// Which edits log order accepted.
  TablesHistory history;
  /// Why the newest accepted version is not in force; empty when it is.
  std::string apply_error;
  /// Set once the configuration stream was read to its end.
  bool read_to_end = false;
  /// Offset after the last record read.
  Offset next;
  /// When a record that holds the newest version was last read.
  std::optional<TimePoint> newest_version_read_at;
  /// When a removed row has surely no request left.
  std::map<RouteName, TimePoint> route_drain_ends;
  std::map<PoolName, TimePoint> pool_drain_ends;
};

/// Whether an edit may follow the tables in force. The shard count of a pool
/// stays as published: streams, claims and jobs are bound to its shards.
/// Returns every fault, one a line; empty when there is none.
std::string CheckTablesChange(const Tables& in_force, const Tables& next);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CONFIGURATION_H_
