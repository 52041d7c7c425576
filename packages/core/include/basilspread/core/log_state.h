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
  /// Oldest offset that the log kept at the last read.
  Offset first_kept;
  /// Time between reads while nothing is awaited.
  Duration read_interval{};
  /// Set after the first answered read.
  bool started = false;
  bool reading = false;
  /// Start of the latest read.
  TimePoint read_at;
  /// A record may have come since the read that is under way began.
  bool read_again = false;
  /// Set after a read that reached the end.
  bool at_end = false;
  /// Start of the latest read that reached the end.
  std::optional<TimePoint> caught_up_at;
  /// Records that wait for the next batch.
  std::vector<LogRecord> pending;
  /// The batch that was sent and not yet read back.
  std::optional<LogBatch> in_flight;
  /// When that batch was first sent.
  TimePoint in_flight_since;
  /// An append of that batch ended without a sure answer.
  bool in_flight_outcome_unknown = false;
  /// When `pending` is to be sent, or `in_flight` to be sent again.
  std::optional<TimePoint> send_at;
  std::optional<TimePoint> last_sent;
  Duration retry_delay{};
  /// Highest batch applied, by writer: a repeated batch counts once.
  std::map<ProcessId, AppendId> applied;
};

struct LogState {
  std::map<StreamName, LogStream> streams;
  std::uint64_t next_append = 1;
  /// Latest answers of the log service.
  std::optional<TimePoint> last_answered;
  std::optional<TimePoint> last_failed;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOG_STATE_H_
