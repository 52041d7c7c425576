#ifndef BASILSPREAD_NODE_LOG_LIMITER_H_
#define BASILSPREAD_NODE_LOG_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Lines of one kind that were left out.
struct OmittedLines {
  std::string kind;
  std::uint64_t count = 0;
};

/// Bounds the lines of each kind; a kind is a sentence of the log. Not
/// thread-safe.
/// Algorithm: a token bucket for each kind.
class LogLimiter {
 public:
  /// Lines of a kind that may come at once, and the rate that they come back
  /// at, in lines a second.
  struct Limits {
    double burst;
    double per_second;
  };

  explicit LogLimiter(Limits line_limits) : limits(line_limits) {}

  /// Whether a line of the kind may be written now; counts it if not.
  bool Admit(std::string_view kind, TimePoint now);
  /// Counts a line that was admitted and could not be written.
  void Omit(std::string_view kind);
  /// What was left out since the last call.
  std::vector<OmittedLines> TakeOmitted();

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    std::uint64_t omitted = 0;
  };

  Bucket& BucketOf(std::string_view kind, TimePoint now);

  Limits limits;
  std::map<std::string, Bucket, std::less<>> buckets;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LOG_LIMITER_H_
