#include "internal/own_load.h"

#include <algorithm>
#include <utility>

namespace basilspread::internal::own_load {

namespace {

void NoteDelay(LoadState& state, TimePoint now) {
  const Duration passed = now - state.short_window_began;
  if (passed >= kShortWindow) {
    // Nothing came in a whole window, so nothing waited.
    const bool was_idle = passed >= 2 * kShortWindow && state.delay < passed;
    state.least_delay_before = was_idle ? Duration::zero() : state.least_delay;
    state.least_delay = state.delay;
    state.short_window_began = now;
  }
  state.least_delay = std::min(state.least_delay, state.delay);
}

}  // namespace

void OnEvent(Context& context, const LoopLoad& load) {
  LoadState& state = context.state.load;
  state.delay = load.delay;
  NoteDelay(state, context.now);
  if (context.now >= state.now.began + kWindow) {
    state.before = std::exchange(state.now, LoadWindow{});
    state.now.began = context.now;
    state.busy_before = load.busy;
  }
  ++state.now.events;
  state.now.busy = load.busy - state.busy_before;
  state.now.longest_delay = std::max(state.now.longest_delay, load.delay);
  state.now.most_waiting = std::max(state.now.most_waiting, load.waiting);
}

TimePoint CaughtUpTo(const Context& context) {
  return context.now - context.state.load.delay;
}

Duration RecentDelay(const Context& context) {
  const LoadState& state = context.state.load;
  return std::max(state.now.longest_delay, state.before.longest_delay);
}

Duration StandingDelay(const Context& context) {
  const LoadState& state = context.state.load;
  return std::min(state.least_delay, state.least_delay_before);
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
