#include "internal/requests_shard_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "internal/membership.h"
#include "internal/ownership.h"

namespace basilspread::internal::requests {
namespace {

/// Free slots for a request of the class, less the queued requests ahead of it.
/// Queued long requests do not delay the other classes.
double FreeSlotsFor(const ShardReport& report, bool is_long) {
  if (is_long) {
    return static_cast<double>(report.free_open_slots) - report.queued_long;
  }
  const std::uint32_t queued_others = report.queued - report.queued_long;
  return static_cast<double>(report.free_slots) - queued_others;
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
  ShardOption option{id, std::nullopt, {}};
  const auto shard = context.state.requests.shards.find(id);
  if (shard != context.state.requests.shards.end()) {
    FillShardLoad(shard->second, option.report);
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
  return ShardOption{shard, peer.node, *report};
}

/// A shard with its free slots less queued requests, as a share of its slots.
struct Candidate {
  ShardOption option;
  double free_share = 0;
};

/// Index of a shard drawn at random with its number of slots as the weight.
std::size_t DrawIndex(Context& context,
                      const std::vector<PopulatedShard>& shards) {
  std::uint64_t total = 0;
  for (const PopulatedShard& shard : shards) {
    total += shard.slots;
  }
  if (total == 0) {
    return 0;
  }
  std::uint64_t slot = context.state.random.NextBelow(total);
  std::size_t index = 0;
  while (slot >= shards[index].slots) {
    slot -= shards[index].slots;
    ++index;
  }
  return index;
}

/// The first shard with a known owner, starting at a random index.
std::optional<Candidate> DrawCandidate(
    Context& context, const std::vector<PopulatedShard>& shards,
    const ShardId& excluded, bool is_long) {
  const std::size_t start = DrawIndex(context, shards);
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const PopulatedShard& shard = shards[(start + i) % shards.size()];
    if (shard.shard == excluded) {
      continue;
    }
    if (auto option = FindOwner(context, shard.shard)) {
      const double slots = std::max(shard.slots, 1U);
      const double free_share = FreeSlotsFor(option->report, is_long) / slots;
      return Candidate{*std::move(option), free_share};
    }
  }
  return std::nullopt;
}

ShardReport* FindReport(Context& context, const NodeName& owner,
                        const ShardId& shard) {
  const auto peer = context.state.membership.peers.find(owner);
  if (peer == context.state.membership.peers.end()) {
    return nullptr;
  }
  for (ShardReport& report : peer->second.last_heartbeat.shards) {
    if (report.shard == shard) {
      return &report;
    }
  }
  return nullptr;
}

}  // namespace

std::optional<ShardOption> FindOwner(const Context& context,
                                     const ShardId& shard) {
  if (ownership::OwnsShard(context, shard)) {
    return OwnOption(context, shard);
  }
  // The owner according to the log is preferred. The log may lag behind a
  // takeover; then any peer that reports the shard in its heartbeats is used.
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

// Algorithm: the power of two choices (Mitzenmacher, 2001). Processes that have
// the same slightly outdated reports then do not all choose the same shard.
std::optional<ShardOption> ChooseShard(Context& context, const Route& route,
                                       const ShardId& excluded) {
  const bool is_long = route.service_class == ServiceClass::kLong;
  const auto found = context.state.requests.populated_shards.find(route.pool);
  if (found == context.state.requests.populated_shards.end()) {
    return std::nullopt;
  }
  const auto first = DrawCandidate(context, found->second, excluded, is_long);
  if (!first) {
    return std::nullopt;
  }
  const auto second = DrawCandidate(context, found->second, excluded, is_long);
  return second->free_share > first->free_share ? second->option
                                                : first->option;
}

void CountForwarded(Context& context, const NodeName& owner,
                    const ShardId& shard, bool is_long) {
  ShardReport* report = FindReport(context, owner, shard);
  if (report == nullptr) {
    return;
  }
  const bool has_slot = FreeSlotsFor(*report, is_long) > 0;
  if (!has_slot) {
    ++report->queued;
    report->queued_long += is_long ? 1 : 0;
    return;
  }
  --report->free_slots;
  report->free_open_slots =
      is_long ? report->free_open_slots - 1
              : std::min(report->free_open_slots, report->free_slots);
}

void CountReturned(Context& context, const NodeName& owner,
                   const ShardId& shard, bool is_long) {
  ShardReport* report = FindReport(context, owner, shard);
  if (report == nullptr) {
    return;
  }
  const std::uint32_t queued_others = report->queued - report->queued_long;
  const bool has_queued = (is_long ? report->queued_long : queued_others) > 0;
  if (has_queued) {
    --report->queued;
    report->queued_long -= is_long ? 1 : 0;
    return;
  }
  ++report->free_slots;
  report->free_open_slots += is_long ? 1 : 0;
}

}  // namespace basilspread::internal::requests
