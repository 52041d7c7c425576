#ifndef BASILSPREAD_CORE_LOAD_H_
#define BASILSPREAD_CORE_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "basilspread/core/time.h"

namespace basilspread {

/// Work of the control thread during one time window.
struct LoadWindow {
  TimePoint began;
  std::uint64_t events = 0;
  /// Time spent handling events.
  Duration busy{};
  /// Longest queueing delay of an event.
  Duration max_delay{};
  /// Longest event queue.
  std::size_t max_waiting = 0;
  /// Placement passes over the queue of submissions, and their work.
  std::uint64_t passes = 0;
  std::uint64_t submissions_looked_at = 0;
  std::uint64_t workers_looked_at = 0;
  std::uint64_t tasks_placed = 0;
};

/// Load of this process's control thread.
struct LoadState {
  /// Minimum queueing delay in the current and in the previous short window:
  /// tells a standing queue from a burst.
  TimePoint short_window_began;
  Duration min_delay{};
  Duration previous_min_delay{};
  /// Queueing delay of the current event, or of the oldest event still queued
  /// if that is longer.
  Duration delay{};
  /// The current window.
  LoadWindow now;
  /// The previous, complete window.
  LoadWindow before;
  /// Value of LoopLoad::busy at the start of the current window.
  Duration busy_at_window_start{};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOAD_H_
