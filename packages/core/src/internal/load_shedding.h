#ifndef BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_
#define BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_

#include <optional>

#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submission_message.h"
#include "internal/context.h"

/// Refuses submissions while events wait for long, before anything is stored:
/// the routes with the most time first, so that the others are served in time.
namespace basilspread::internal::load_shedding {

/// After how long the caller may come again; unset: the submission is taken.
std::optional<Duration> RefuseFor(Context& context, const QueueRoute& route);

/// The same at the process that the caller is connected to, which refuses for
/// its leader too.
std::optional<Duration> RefuseAtEntry(Context& context, const RouteName& route);

/// The leader has refused a submission for load.
void OnLeaderRefused(Context& context, const RouteName& route,
                     Duration retry_after);

}  // namespace basilspread::internal::load_shedding

#endif  // BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_
