#ifndef BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_
#define BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_

#include <optional>

#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submission_message.h"
#include "internal/context.h"

/// Load shedding: refuses submissions while the queueing delay is high, before
/// anything is stored. Routes with the longest target latency are refused
/// first, so that the others are served in time.
namespace basilspread::internal::load_shedding {

/// Returns the time after which the caller may retry; unset if the submission
/// is admitted. Submissions beyond the share of their workspace are refused
/// before all others.
std::optional<Duration> RefuseFor(Context& context, const QueueRoute& route,
                                  bool is_beyond_share = false);

/// RefuseFor at the process that the caller is connected to, which also refuses
/// on behalf of an overloaded leader. While the leader is not heard, nothing is
/// refused on its behalf.
std::optional<Duration> RefuseAtEntry(Context& context, const RouteName& route,
                                      const WorkspaceName& workspace);

/// Notes that the leader refused a submission because of its load.
void OnLeaderRefused(Context& context, const RouteName& route,
                     const WorkspaceName& workspace, Duration retry_after);

}  // namespace basilspread::internal::load_shedding

#endif  // BASILSPREAD_CORE_INTERNAL_LOAD_SHEDDING_H_
