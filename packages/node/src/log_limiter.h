#ifndef BASILSPREAD_NODE_LOG_LIMITER_H_
#define BASILSPREAD_NODE_LOG_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Number of dropped lines of one kind.
struct DroppedLines {
  std::string kind;
  std::uint64_t count = 0;
};

/// Rate limiter for log lines, with a token bucket per kind of line. The kind
/// is the part and message of a line. Not thread-safe.
class LogLimiter {
 public:
  /// Capacity of a bucket in lines, and its refill rate in lines per second.
  struct Limits {
    double burst;
    double per_second;
  };

  explicit LogLimiter(Limits line_limits) : limits(line_limits) {}

  /// Returns whether a line of the kind may be written; counts it as dropped if
  /// not.
  bool Admit(std::string_view kind, TimePoint now);
  /// Counts an admitted line that could not be queued as dropped.
  void CountDropped(std::string_view kind);
  /// Returns the counts of lines dropped since the last call.
  std::vector<DroppedLines> TakeDropped();

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at;
    std::uint64_t dropped = 0;
  };

  Bucket& BucketOf(std::string_view kind, TimePoint now);

  Limits limits;
  std::map<std::string, Bucket, std::less<>> buckets;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LOG_LIMITER_H_
