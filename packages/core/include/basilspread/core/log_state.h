#ifndef BASILSPREAD_CORE_LOG_STATE_H_
#define BASILSPREAD_CORE_LOG_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// One log stream as this process reads and writes it.
struct LogStream {
  /// Next offset to read.
  Offset next;
  bool reading = false;
  /// Set after a read that reached the end.
  bool at_end = false;
  std::optional<TimePoint> last_read;
  /// Records that wait for the next batch.
  std::vector<LogRecord> pending;
  /// The batch that was sent and not yet read back.
  std::optional<LogBatch> in_flight;
  std::optional<TimePoint> appended_at;
  /// Highest batch applied, by writer: a repeated batch counts once.
  std::map<ProcessId, AppendId> applied;
};

struct LogState {
  std::map<StreamName, LogStream> streams;
  std::uint64_t next_append = 1;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOG_STATE_H_
