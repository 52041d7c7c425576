#ifndef BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_
#define BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_

#include "basilspread/core/event.h"
#include "basilspread/core/load.h"
#include "internal/context.h"

/// How far this process is behind its own work, so that its delay is not taken
/// for that of others.
namespace basilspread::internal::own_load {

/// Length of a window.
inline constexpr Duration kWindow = std::chrono::seconds(1);

/// Length of a short window: a burst that is worked off within it is no
/// overload.
inline constexpr Duration kShortWindow = std::chrono::milliseconds(250);

void OnEvent(Context& context, const LoopLoad& load);

/// Everything that came before this point has been handled. Whoever waits for
/// an answer counts his patience up to it: a later answer may lie in this
/// process's own queue.
TimePoint CaughtUpTo(const Context& context);

/// Longest time that an event has waited in the last one to two seconds.
Duration RecentDelay(const Context& context);

/// Time that every event has waited of late; zero once one did not.
Duration StandingDelay(const Context& context);

/// Share of the last whole window that was spent on events.
double BusyShare(const Context& context);

}  // namespace basilspread::internal::own_load

#endif  // BASILSPREAD_CORE_INTERNAL_OWN_LOAD_H_
