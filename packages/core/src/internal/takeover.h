#ifndef BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_
#define BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_

#include "basilspread/core/ids.h"
#include "internal/context.h"

/// When this process claims a shard.
namespace basilspread::internal::takeover {

void Start(Context& context);
void OnTimer(Context& context);

/// Takes up what a peer's latest heartbeat tells of its shards.
void OnReports(Context& context, const NodeName& peer);

/// The stream of a shard that another owns was read to its end.
void OnStreamCaughtUp(Context& context, ShardOwnership& ownership);

/// The process that is to claim the shard when this one releases it: the
/// live one that ranks first. Empty when there is none.
/// Algorithm: rendezvous hashing (Thaler and Ravishankar, 1998).
NodeName SuccessorFor(const Context& context, const ShardId& shard);

}  // namespace basilspread::internal::takeover

#endif  // BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_
