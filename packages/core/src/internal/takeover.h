#ifndef BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_
#define BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_

#include "basilspread/core/ids.h"
#include "internal/context.h"

/// Decides when this process claims a shard.
namespace basilspread::internal::takeover {

void Start(Context& context);
void OnTimer(Context& context);

/// Handles the shard reports of a peer's latest heartbeat.
void OnReports(Context& context, const NodeName& peer);

/// A read has reached the end of the stream of a shard that this process does
/// not own.
void OnStreamCaughtUp(Context& context, ShardOwnership& ownership);

/// The node that is to claim the shard when this process releases it: the live
/// and connected peer with the highest rank. Empty when there is none.
/// Algorithm: rendezvous hashing (Thaler and Ravishankar, 1998).
NodeName SuccessorFor(const Context& context, const ShardId& shard);

}  // namespace basilspread::internal::takeover

#endif  // BASILSPREAD_CORE_INTERNAL_TAKEOVER_H_
