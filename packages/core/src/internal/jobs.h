#ifndef BASILSPREAD_CORE_INTERNAL_JOBS_H_
#define BASILSPREAD_CORE_INTERNAL_JOBS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/ownership.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

/// Entry points of job handling, called by the reducer and the other modules.
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

/// Applies a record that was read back. Ignores a record of another epoch than
/// the one in force at this point of the shard's stream.
void OnRecord(Context& context, const JobRecord& record);
void OnRecord(Context& context, const IntentRecord& record);
void OnRecord(Context& context, const OutcomeRecord& record);
void OnRecord(Context& context, const CancelRecord& record);

/// Runs after each event: schedules jobs and calls the workers that are due.
void Settle(Context& context);

/// Updates the workers of the owned shards from the host list and the tables.
void OnHostsChanged(Context& context);
/// Reading of the shard's stream starts over: drops the state read from it.
void OnStreamReset(Context& context, const ShardId& shard);
/// This process owns the shard, and its stream was read up to the claim.
void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind);
/// This process may act on an owned shard, for the first time or again.
void OnShardReady(Context& context, const ShardId& shard);
void OnShardLost(Context& context, const ShardId& shard);
/// Answers the callers whose calls the lost peer was handling.
void OnPeerLost(Context& context, const NodeName& peer);

/// Appends the live state of the shard again, before its old records expire.
void AppendCheckpoint(Context& context, const ShardId& shard);

/// What the jobs of each team have reserved, over the home shards of this
/// process.
std::vector<TeamUsage> Usage(const Context& context);

/// Whether a graceful stop may release the shards: no caller waits, and no call
/// to a worker is in flight.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOBS_H_
