#ifndef BASILSPREAD_NODE_LIMIT_REPORTS_H_
#define BASILSPREAD_NODE_LIMIT_REPORTS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>

#include "basilspread/core/time.h"
#include "connection_budget.h"

namespace basilspread::node {

/// Logs exceeded limits, at most one line a second for each. Thread-safe.
class LimitReports {
 public:
  /// Called with the number of times since the last line.
  using Write = std::function<void(ConnectionLimit, std::uint64_t times)>;

  explicit LimitReports(Write write_hook);

  void Add(ConnectionLimit limit, TimePoint now);

 private:
  struct Count {
    std::uint64_t times = 0;
    TimePoint logged_at;
  };

  const Write write;
  std::mutex mutex;
  std::array<Count, kConnectionLimits> counts;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LIMIT_REPORTS_H_
