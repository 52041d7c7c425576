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

/// After an unclean takeover the slots of the shard's minions count as used
/// for as long as the last owner's requests may run.
void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind);
/// An owned shard may be acted on, at first or again.
void OnShardReady(Context& context, const ShardId& shard);
void OnShardLost(Context& context, const ShardId& shard);
/// Settles what was passed to a peer that is gone.
void OnPeerLost(Context& context, const NodeName& peer);

/// Whether no request waits or runs in the shard.
bool IsShardIdle(const Context& context, const ShardId& shard);

/// How long requests of earlier owners may still run on the shard's minions.
Duration UnsettledTime(const Context& context, const ShardId& shard);
/// Whether nothing of any caller is in flight here.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_H_
