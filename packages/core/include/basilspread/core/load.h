#ifndef BASILSPREAD_CORE_LOAD_H_
#define BASILSPREAD_CORE_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "basilspread/core/time.h"

namespace basilspread {

/// What the control thread did in a window of time.
struct LoadWindow {
  TimePoint began;
  std::uint64_t events = 0;
  /// Time spent on them.
  Duration busy{};
  /// Longest time that an event waited.
  Duration max_delay{};
  std::size_t max_waiting = 0;
  /// Passes over the queue of submissions, and what they did.
  std::uint64_t passes = 0;
  std::uint64_t submissions_looked_at = 0;
  std::uint64_t workers_looked_at = 0;
  std::uint64_t tasks_placed = 0;
};

/// How busy this process is, by its own measure.
struct LoadState {
  /// Least delay of the running and of the last short window: what waits all
  /// the time, in contrast to what comes at once.
  TimePoint short_window_began;
  Duration min_delay{};
  Duration previous_min_delay{};
  /// How long the event in hand, or an older one behind it, has waited.
  Duration delay{};
  LoadWindow now;
  /// The last whole window.
  LoadWindow before;
  /// Time spent on events when the running window began.
  Duration busy_at_window_start{};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOAD_H_
