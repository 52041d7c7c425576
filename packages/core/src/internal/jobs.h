#ifndef BASILSPREAD_CORE_INTERNAL_JOBS_H_
#define BASILSPREAD_CORE_INTERNAL_JOBS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/ownership.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

/// The jobs concern as the dispatch and the other concerns see it.
namespace basilspread::internal::jobs {

void Start(Context& context);
void OnTimer(Context& context);

void OnArrived(Context& context, const JobArrived& event);
void OnCallerGone(Context& context, const CallerDisconnected& event);
void OnWorkerAnswered(Context& context, const WorkerAnswered& event);

void OnMessage(Context& context, const ProcessId& from, const JobCall& message);
void OnMessage(Context& context, const ProcessId& from,
               const JobAnswer& message);
void OnMessage(Context& context, const ProcessId& from,
               const ReserveTasks& message);
void OnMessage(Context& context, const ProcessId& from,
               const ReserveAnswer& message);
void OnMessage(Context& context, const ProcessId& from,
               const ConfirmTasks& message);
void OnMessage(Context& context, const ProcessId& from,
               const ReleaseHold& message);
void OnMessage(Context& context, const ProcessId& from,
               const StopTasks& message);
void OnMessage(Context& context, const ProcessId& from,
               const TaskReports& message);
void OnMessage(Context& context, const ProcessId& from,
               const TaskReportsAck& message);

/// Applies a record that was read back. Records of an epoch other than the
/// shard's own at this point of its stream are void.
void OnRecord(Context& context, const JobRecord& record);
void OnRecord(Context& context, const IntentRecord& record);
void OnRecord(Context& context, const OutcomeRecord& record);
void OnRecord(Context& context, const CancelRecord& record);

/// Starts and sends what the event that was handled has made possible.
void Settle(Context& context);

/// Matches the workers of the owned shards to hosts and tables.
void OnHostsChanged(Context& context);
/// Reading of the shard's stream starts over: drops what was read of it.
void OnStreamReset(Context& context, const ShardId& shard);
/// This process owns the shard, and its stream was read up to the claim.
void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind);
/// An owned shard may be acted on, at first or again.
void OnShardReady(Context& context, const ShardId& shard);
void OnShardLost(Context& context, const ShardId& shard);
/// Answers the callers whose calls a peer that is gone was handling.
void OnPeerLost(Context& context, const NodeName& peer);

/// Appends what is live in the shard anew, before older records expire.
void AppendCheckpoint(Context& context, const ShardId& shard);

/// What teams have reserved through the home shards of this process.
std::vector<TeamUsage> Usage(const Context& context);

/// Whether nothing here keeps a graceful stop from releasing the shards.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOBS_H_
