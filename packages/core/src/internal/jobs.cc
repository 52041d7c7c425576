#include "internal/jobs.h"

namespace basilspread::internal::jobs {

void Start(Context& /*context*/) {}
void OnTimer(Context& /*context*/) {}
void OnArrived(Context& /*context*/, const JobArrived& /*event*/) {}
void OnCallerGone(Context& /*context*/, const CallerGone& /*event*/) {}
void OnWorkerAnswered(Context& /*context*/, const WorkerAnswered& /*event*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const JobCall& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const JobAnswer& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const ReserveTasks& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const ReserveAnswer& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const ConfirmTasks& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const ReleaseHold& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const StopTasks& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const TaskReports& /*message*/) {}
void OnMessage(Context& /*context*/, const ProcessId& /*from*/,
               const TaskReportsAck& /*message*/) {}
void OnRecord(Context& /*context*/, const JobRecord& /*record*/) {}
void OnRecord(Context& /*context*/, const IntentRecord& /*record*/) {}
void OnRecord(Context& /*context*/, const OutcomeRecord& /*record*/) {}
void OnRecord(Context& /*context*/, const CancelRecord& /*record*/) {}
void OnRecordsApplied(Context& /*context*/) {}
void OnHostsChanged(Context& /*context*/) {}
void OnStreamReset(Context& /*context*/, const ShardId& /*shard*/) {}
void OnShardGained(Context& /*context*/, const ShardId& /*shard*/,
                   TakeoverKind /*kind*/) {}
void OnShardReady(Context& /*context*/, const ShardId& /*shard*/) {}
void OnShardLost(Context& /*context*/, const ShardId& /*shard*/) {}
void OnPeerLost(Context& /*context*/, const NodeName& /*peer*/) {}
void AppendCheckpoint(Context& /*context*/, const ShardId& /*shard*/) {}
std::vector<TeamUsage> Usage(const Context& /*context*/) { return {}; }
bool IsIdle(const Context& /*context*/) { return true; }

}  // namespace basilspread::internal::jobs
