#ifndef BASILSPREAD_CORE_TAKEOVER_WAIT_LEADER_RECORDS_H_
#define BASILSPREAD_CORE_TAKEOVER_WAIT_LEADER_RECORDS_H_

#include <optional>

#include "basilspread/core/submission_record.h"
#include "internal/context.h"

/// Records of leaders, from which the next one tells how long to wait for the
/// leases of each.
namespace basilspread::internal::takeover_wait {

LeaderRecord MakeOwnLeaderRecord(const Context& context);
/// The predecessor's record with the remaining wait for its leases; unset if no
/// record is kept of it any more.
std::optional<LeaderRecord> MakeLeaderRecord(const Context& context,
                                             const NodeName& node);
/// Applies what an earlier leader stored of the predecessor's end.
void ApplyRecord(const Context& context, const LeaderRecord& record,
                 Predecessor& predecessor);

/// Queues the record of a predecessor that was found to have ended.
void OnEnded(Context& context, const Predecessor& predecessor);
/// Queues the records of all predecessors once a second.
void StoreWaits(Context& context);

/// When the leases of a predecessor have surely lapsed.
TimePoint LeasesEndOf(const Context& context, const Predecessor& predecessor);

}  // namespace basilspread::internal::takeover_wait

#endif  // BASILSPREAD_CORE_TAKEOVER_WAIT_LEADER_RECORDS_H_
