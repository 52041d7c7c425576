#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/ownership.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

void OnArrived(Context& context, const RequestArrived& event);
void OnCallerGone(Context& context, const CallerDisconnected& event);
void OnForwarded(Context& context, const ProcessId& from,
                 const ForwardRequest& message);
void OnForwardAnswered(Context& context, const ProcessId& from,
                       const ForwardAnswer& message);
void OnPeerMessageNotSent(Context& context, const PeerMessageNotSent& event);
void OnMinionAnswered(Context& context, const MinionAnswered& event);
void OnKeyIntent(Context& context, const KeyIntentRecord& record);
void OnKeyOutcome(Context& context, const KeyOutcomeRecord& record);
void OnTimer(Context& context);

/// Rebuilds the minions of the owned shards from hosts and tables.
void OnHostsChanged(Context& context);

/// Starts ownership of a shard. Its minions' slots are held for as long as
/// requests of earlier owners may still run; after an unclean takeover this
/// is the longest run time of the pool's routes.
void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind);
/// Dispatches the queued requests once this process may act on the shard.
void OnShardReady(Context& context, const ShardId& shard);
/// Answers the queued requests and pending keys of a shard that has moved.
void OnShardLost(Context& context, const ShardId& shard);
/// Settles the calls that were forwarded to a lost peer.
void OnPeerLost(Context& context, const NodeName& peer);

/// Whether the shard has no queued or running request.
bool IsShardIdle(const Context& context, const ShardId& shard);

/// How long requests of earlier owners may still run on the shard's minions.
Duration UnsettledTime(const Context& context, const ShardId& shard);
/// Whether this process has no request or call in progress.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_H_
