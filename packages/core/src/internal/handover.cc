#include "internal/handover.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/jobs.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/ownership.h"
#include "internal/peers.h"
#include "internal/requests.h"
#include "internal/takeover.h"

namespace basilspread::internal::handover {
namespace {

constexpr std::string_view kPart = "process";
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
/// Time limit for reading the releases back. After it the process exits, and
/// the successors take over as they do from a process that died.
constexpr Duration kReleaseTimeout = std::chrono::seconds(2);

void Release(Context& context, ShardOwnership& ownership) {
  ownership.releasing = true;
  ReleaseRecord record;
  record.shard = ownership.shard;
  record.epoch = ownership.epoch;
  record.owner = context.state.settings.self;
  record.successor = takeover::SuccessorFor(context, ownership.shard);
  record.unsettled = requests::UnsettledTime(context, ownership.shard);
  log::Append(context, ownership::StreamOf(ownership.shard), record);
}

/// Releases the shards without requests in flight. Shards that are still busy
/// are released by a later call.
void ReleaseIdleShards(Context& context) {
  if (!jobs::IsIdle(context)) {
    return;
  }
  for (auto& [shard, ownership] : context.state.ownership.shards) {
    if (ownership.owned_by_self && !ownership.releasing &&
        requests::IsShardIdle(context, shard)) {
      Release(context, ownership);
    }
  }
}

bool OwnsNoShard(const Context& context) {
  const auto& shards = context.state.ownership.shards;
  return std::none_of(shards.begin(), shards.end(), [](const auto& entry) {
    return entry.second.owned_by_self || entry.second.claiming;
  });
}

bool IsDrained(const Context& context) {
  return requests::IsIdle(context) && jobs::IsIdle(context);
}

void Exit(Context& context, std::string_view text) {
  context.Log(LogLevel::kInfo, kPart, text);
  context.Emit(ExitProcess{});
}

}  // namespace

void OnStopRequested(Context& context) {
  if (context.state.stopping) {
    return;
  }
  context.state.stopping = true;
  context.state.ownership.stop_deadline =
      context.now + context.state.settings.drain_timeout;
  context.Log(LogLevel::kInfo, kPart, "Stop was requested; draining.");
  context.Emit(RefuseCallers{});
  peers::AnnounceLeaving(context);
  membership::SendHeartbeats(context);
  OnStopTimer(context);
}

void OnStopTimer(Context& context) {
  ReleaseIdleShards(context);
  if (IsDrained(context) && OwnsNoShard(context)) {
    Exit(context, "All work is drained and all shards are released; exiting.");
    return;
  }
  TimePoint& stop_deadline = *context.state.ownership.stop_deadline;
  if (IsDrained(context)) {
    stop_deadline = std::min(stop_deadline, context.now + kReleaseTimeout);
  }
  if (context.now >= stop_deadline) {
    Exit(context,
         "Graceful stop timed out; exiting with work in flight or shards "
         "unreleased.");
    return;
  }
  context.ArmIn(TimerKind::kStop, kCheckInterval);
}

}  // namespace basilspread::internal::handover
