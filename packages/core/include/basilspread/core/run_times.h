#ifndef BASILSPREAD_CORE_RUN_TIMES_H_
#define BASILSPREAD_CORE_RUN_TIMES_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Buckets of a histogram; four for each doubling.
inline constexpr std::size_t kRunTimeBuckets = 128;
/// Decayed number of runs in each bucket.
using RunTimeWeights = std::array<float, kRunTimeBuckets>;

/// How many of the key's fields are set.
enum class RunTimeScope : std::uint8_t {
  /// The route only.
  kRoute,
  /// All but the workspace.
  kKind,
  kWorkspace,
};

/// Runs with equal keys are expected to take similar times.
struct RunTimeKey {
  RouteName route;
  RunTimeScope scope = RunTimeScope::kRoute;
  std::uint32_t step = 0;
  std::string image = {};
  /// Binary order of magnitude of the task's millicores, mebibytes and
  /// accelerators; 0 for none.
  std::array<std::uint8_t, 3> size = {};
  WorkspaceName workspace = {};

  friend auto operator<=>(const RunTimeKey&, const RunTimeKey&) = default;
};

/// Distribution of the run times of one key.
struct RunTimeSketch {
  /// Histogram of run times, from 2^-10 s.
  RunTimeWeights times = {};
  /// Histogram of measured by declared run time, from 2^-16.
  RunTimeWeights ratios = {};
  /// Moving averages of the logarithmic error of either histogram's median.
  double time_error = 0;
  double ratio_error = 0;
  /// Likewise of the whole estimate, and its mean logarithmic error with sign:
  /// positive if runs take longer than estimated.
  double error = 0;
  double bias = 0;
  /// Weight of the latest consecutive runs on one side of the median; negative
  /// below it.
  double one_sided = 0;
  /// RunTimesState::runs at the latest run.
  std::uint64_t last_run = 0;
};

/// How much longer runs take on a worker than elsewhere.
struct WorkerSpeed {
  /// Natural logarithm of the factor.
  double log_factor = 0;
  std::uint64_t samples = 0;
  /// RunTimesState::runs at the latest sample.
  std::uint64_t last_run = 0;
};

/// Moving average of measured by declared run time of one route and image, for
/// deployments without learned run times.
struct RunTimeStatistics {
  double ratio = 1;
  std::uint64_t samples = 0;
};

/// Run times that the leader has learned.
struct RunTimesState {
  std::map<RunTimeKey, RunTimeSketch> sketches;
  std::map<HostName, WorkerSpeed> speeds;
  /// Runs learned from, and their number when the summary was last appended to
  /// the work log.
  std::uint64_t runs = 0;
  std::uint64_t summarized_runs = 0;
  /// Earliest time of the next summary.
  TimePoint next_summary;
  /// Keyed by route and image.
  std::map<std::pair<RouteName, std::string>, RunTimeStatistics> averages;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RUN_TIMES_H_
