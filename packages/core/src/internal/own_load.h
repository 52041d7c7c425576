#ifndef BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_
#define BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_

#include "basilspread/core/event.h"
#include "basilspread/core/load.h"
#include "internal/context.h"

/// Measures how far this process is behind with its events, so that its own
/// delay is not attributed to others.
namespace basilspread::internal::own_load {

/// Length of a window.
inline constexpr Duration kWindow = std::chrono::seconds(1);

/// Length of a short window: a burst that is handled within it is not an
/// overload.
inline constexpr Duration kShortWindow = std::chrono::milliseconds(250);

void OnEvent(Context& context, const LoopLoad& load);

/// Returns the time up to which all arrived events have been handled. Time-outs
/// are compared with it rather than with the current time, since a later answer
/// may still be in this process's own queue.
TimePoint CaughtUpTo(const Context& context);

/// Returns the longest queueing delay in the last one to two windows.
Duration RecentDelay(const Context& context);

/// Returns the minimum queueing delay of the last one to two short windows:
/// the delay of a standing queue; zero as soon as one event did not wait.
Duration StandingDelay(const Context& context);

/// Returns the share of the previous window that was spent handling events.
double BusyShare(const Context& context);

}  // namespace basilspread::internal::own_load

#endif  // BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_
