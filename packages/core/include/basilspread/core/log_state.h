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

/// Read position and append state of one log stream.
struct LogStream {
  /// Next offset to read.
  Offset next;
  /// Oldest offset that the log still kept at the latest read.
  Offset first_kept;
  /// Polling interval while no append waits to be read back.
  Duration read_interval{};
  /// Set once the first read has been answered.
  bool started = false;
  /// A read is outstanding.
  bool reading = false;
  /// Start of the latest read.
  TimePoint read_at;
  /// Read again when the outstanding read ends: a record may have been stored
  /// after that read began.
  bool read_again = false;
  /// The latest read succeeded and reached the end of the stream.
  bool at_end = false;
  /// Start of the latest read that reached the end; unset before the first.
  std::optional<TimePoint> caught_up_at;
  /// Records to append in the next batch.
  std::vector<LogRecord> pending;
  /// The batch that was appended and not yet read back.
  std::optional<LogBatch> in_flight;
  /// When the batch in flight was first sent.
  TimePoint in_flight_since;
  /// An append of the batch in flight may have been stored although it was not
  /// confirmed.
  bool in_flight_outcome_unknown = false;
  /// When to send `pending`, or `in_flight` again; unset when neither is due.
  std::optional<TimePoint> send_at;
  /// When the latest append was sent.
  std::optional<TimePoint> last_sent;
  /// Time until the batch in flight is sent again.
  Duration retry_delay{};
  /// Highest batch number applied for each writer; duplicates are skipped.
  std::map<ProcessId, AppendId> applied;
};

/// State of all log streams and of the log service.
struct LogState {
  std::map<StreamName, LogStream> streams;
  /// Number of the next batch of this process.
  std::uint64_t next_append = 1;
  /// When the log service last answered a call successfully.
  std::optional<TimePoint> last_answered;
  /// When a call last failed; unset again by the next success.
  std::optional<TimePoint> last_failed;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOG_STATE_H_
