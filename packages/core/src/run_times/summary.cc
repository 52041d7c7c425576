#include "run_times/summary.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilspread/core/limits.h"
#include "run_times/run_times.h"
#include "run_times/sketches.h"

namespace basilspread::internal::run_times {
namespace {

constexpr std::string_view kPart = "run-times";
/// Adds no call to the store and at most 200 KB per minute; with twenty kinds
/// of work it is about 4 KB.
constexpr Duration kInterval = std::chrono::minutes(1);
/// The first summaries come sooner, since a new leader without any has most to
/// lose.
constexpr Duration kFirstInterval = std::chrono::seconds(10);
/// Fewer new runs change no estimate much.
constexpr std::uint64_t kMinRuns = 20;

}  // namespace

std::optional<RunTimesRecord> TakeSummary(Context& context) {
  RunTimesState& state = context.state.submissions.run_times;
  if (!IsEnabled(context) || context.now < state.next_summary ||
      state.runs < state.summarized_runs + kMinRuns) {
    return std::nullopt;
  }
  const bool is_first = state.summarized_runs == 0;
  state.next_summary = context.now + (is_first ? kFirstInterval : kInterval);
  state.summarized_runs = state.runs;
  RunTimesRecord record;
  record.rows.assign(state.sketches.begin(), state.sketches.end());
  // The sure and recent ones, if there are too many.
  const auto kept = static_cast<std::ptrdiff_t>(
      std::min(record.rows.size(), limits::kMaxRunTimeRows));
  std::partial_sort(
      record.rows.begin(), record.rows.begin() + kept, record.rows.end(),
      [](const auto& left, const auto& right) {
        return std::pair(IsSure(left.second), left.second.last_run) >
               std::pair(IsSure(right.second), right.second.last_run);
      });
  record.rows.resize(static_cast<std::size_t>(kept));
  context.Log(LogLevel::kInfo, kPart,
              "Stores a summary of the learned run times.",
              {{"kinds", record.rows.size()},
               {"runs", state.runs},
               {"bytes", MaxEncodedBytes(record)}});
  return record;
}

void Load(Context& context, const RunTimesRecord& record) {
  // The tables, which may enable the estimates, may not be read yet.
  RunTimesState& state = context.state.submissions.run_times;
  // Newer than what this process learned while it led before.
  state.sketches.clear();
  for (const auto& [key, sketch] : record.rows) {
    state.sketches.insert_or_assign(key, sketch).first->second.last_run =
        state.runs;
  }
  context.Log(LogLevel::kInfo, kPart,
              "Took over the learned run times of an earlier leader.",
              {{"kinds", state.sketches.size()}});
}

}  // namespace basilspread::internal::run_times
