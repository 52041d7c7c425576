#include "internal/own_load.h"

#include <algorithm>
#include <utility>

namespace basilspread::internal::own_load {

namespace {

void UpdateMinDelay(LoadState& state, TimePoint now) {
  const Duration passed = now - state.short_window_began;
  if (passed >= kShortWindow) {
    // No event arrived in a whole window, so none waited.
    const bool was_idle = passed >= 2 * kShortWindow && state.delay < passed;
    state.previous_min_delay = was_idle ? Duration::zero() : state.min_delay;
    state.min_delay = state.delay;
    state.short_window_began = now;
  }
  state.min_delay = std::min(state.min_delay, state.delay);
}

}  // namespace

void OnEvent(Context& context, const LoopLoad& load) {
  LoadState& state = context.state.load;
  state.delay = load.delay;
  UpdateMinDelay(state, context.now);
  if (context.now >= state.now.began + kWindow) {
    state.before = std::exchange(state.now, LoadWindow{});
    state.now.began = context.now;
    state.busy_at_window_start = load.busy;
  }
  ++state.now.events;
  state.now.busy = load.busy - state.busy_at_window_start;
  state.now.max_delay = std::max(state.now.max_delay, load.delay);
  state.now.max_waiting = std::max(state.now.max_waiting, load.waiting);
}

TimePoint CaughtUpTo(const Context& context) {
  return context.now - context.state.load.delay;
}

Duration RecentDelay(const Context& context) {
  const LoadState& state = context.state.load;
  return std::max(state.now.max_delay, state.before.max_delay);
}

Duration StandingDelay(const Context& context) {
  const LoadState& state = context.state.load;
  return std::min(state.min_delay, state.previous_min_delay);
}

double BusyShare(const Context& context) {
  const LoadState& state = context.state.load;
  const Duration length = state.now.began - state.before.began;
  if (length <= Duration::zero()) {
    return 0;
  }
  return std::chrono::duration<double>(state.before.busy) /
         std::chrono::duration<double>(length);
}

}  // namespace basilspread::internal::own_load
