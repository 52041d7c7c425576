#include "internal/requests_shard_choice.h"

#include <vector>

#include "internal/membership.h"
#include "internal/ownership.h"

namespace basilspread::internal::requests {
namespace {

std::int64_t FreeSlotsOf(const ShardReport& report) {
  return static_cast<std::int64_t>(report.free_slots) -
         static_cast<std::int64_t>(report.queued);
}

const ShardReport* FindReport(const Peer& peer, const ShardId& shard) {
  for (const ShardReport& report : peer.last_heartbeat.shards) {
    if (report.shard == shard) {
      return &report;
    }
  }
  return nullptr;
}

ShardOption OwnOption(const Context& context, const ShardId& id) {
  ShardOption option{id, std::nullopt, 0};
  const auto shard = context.state.requests.shards.find(id);
  if (shard != context.state.requests.shards.end()) {
    option.free_slots =
        static_cast<std::int64_t>(FreeSlots(shard->second)) -
        static_cast<std::int64_t>(QueuedRequests(shard->second));
  }
  return option;
}

std::optional<ShardOption> OptionAt(const Context& context, const Peer& peer,
                                    const ShardId& shard) {
  const bool is_usable = membership::IsLive(context, peer) && peer.connected &&
                         !peer.last_heartbeat.stopping;
  const ShardReport* report = is_usable ? FindReport(peer, shard) : nullptr;
  if (report == nullptr) {
    return std::nullopt;
  }
  return ShardOption{shard, peer.node, FreeSlotsOf(*report)};
}

/// The first usable shard from a random place on.
std::optional<ShardOption> Draw(Context& context,
                                const std::vector<ShardId>& shards,
                                const ShardId& excluded) {
  const std::size_t start = context.state.random.Below(shards.size());
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const ShardId& shard = shards[(start + i) % shards.size()];
    if (shard == excluded) {
      continue;
    }
    if (auto option = FindOwner(context, shard)) {
      return option;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<ShardOption> FindOwner(const Context& context,
                                     const ShardId& shard) {
  if (ownership::OwnsShard(context, shard)) {
    return OwnOption(context, shard);
  }
  // The owner by the log comes first; where the log lags behind a takeover,
  // whoever reports the shard in its heartbeats is asked.
  const auto& peers = context.state.membership.peers;
  const auto known = context.state.ownership.shards.find(shard);
  const bool has_owner = known != context.state.ownership.shards.end() &&
                         known->second.owner.has_value();
  if (has_owner) {
    const auto peer = peers.find(known->second.owner->node);
    if (peer != peers.end()) {
      if (auto option = OptionAt(context, peer->second, shard)) {
        return option;
      }
    }
  }
  for (const auto& [node, peer] : peers) {
    if (auto option = OptionAt(context, peer, shard)) {
      return option;
    }
  }
  return std::nullopt;
}

// Algorithm: the power of two choices (Mitzenmacher, 2001); it keeps
// processes that all hold the same slightly old reports from all choosing
// the same shard.
std::optional<ShardOption> ChooseShard(Context& context, const PoolName& pool,
                                       const ShardId& excluded) {
  const auto found = context.state.requests.populated.find(pool);
  if (found == context.state.requests.populated.end()) {
    return std::nullopt;
  }
  const auto first = Draw(context, found->second, excluded);
  if (!first) {
    return std::nullopt;
  }
  const auto second = Draw(context, found->second, excluded);
  return second->free_slots > first->free_slots ? second : first;
}

void CountForwarded(Context& context, const ShardOption& option) {
  Peer& peer = context.state.membership.peers.at(*option.owner);
  for (ShardReport& report : peer.last_heartbeat.shards) {
    if (report.shard == option.shard) {
      ++report.queued;
    }
  }
}

}  // namespace basilspread::internal::requests
