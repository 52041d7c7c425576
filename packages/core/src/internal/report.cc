#include "internal/report.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>

#include "internal/configuration.h"
#include "internal/membership.h"
#include "internal/ownership.h"
#include "internal/report_jobs.h"
#include "internal/report_tables.h"

namespace basilspread::internal::report {
namespace {

ReportSection DescribeProcess(const Context& context) {
  ReportSection section{"process", {}};
  const State& state = context.state;
  section.rows.push_back(
      {{"node", state.settings.self.node.value},
       {"incarnation", fmt::format("{}", state.settings.self.incarnation)},
       {"zone", state.settings.zone.value},
       {"tables", fmt::format("{}", state.configuration.tables.version.value)},
       {"stopping", state.stopping ? "yes" : "no"}});
  return section;
}

std::string StateOf(const Context& context, const Peer& peer) {
  if (peer.other_version) {
    return std::string(AnswerFor(ErrorKind::kProtocolMismatch).name);
  }
  if (!membership::IsLive(context, peer)) {
    return "silent";
  }
  return peer.last_heartbeat.stopping ? "stopping" : "live";
}

ReportSection DescribeMembers(const Context& context) {
  ReportSection section{"members", {}};
  for (const auto& [node, peer] : context.state.membership.peers) {
    section.rows.push_back(
        {{"node", node.value},
         {"incarnation", fmt::format("{}", peer.incarnation)},
         {"state", StateOf(context, peer)},
         {"tables", fmt::format("{}", peer.last_heartbeat.tables.value)}});
  }
  return section;
}

ReportSection DescribeShards(const Context& context) {
  ReportSection section{"shards", {}};
  for (const auto& [shard, state] : context.state.ownership.shards) {
    const auto owner = ownership::OwnerOf(context, shard);
    section.rows.push_back(
        {{"shard", shard.value},
         {"epoch",
          fmt::format("{}", ownership::OwnerEpoch(context, shard).value)},
         {"owner", owner ? owner->node.value : "-"},
         {"may_act", ownership::MayAct(context, shard) ? "yes" : "no"}});
  }
  return section;
}

ReportSection DescribeMinions(const Context& context) {
  ReportSection section{"minions", {}};
  for (const auto& [shard, minions] : context.state.requests.shards) {
    for (const auto& [name, minion] : minions.minions) {
      section.rows.push_back(
          {{"minion", name.value},
           {"shard", shard.value},
           {"slots", fmt::format("{}", TotalSlots(minion))},
           {"busy", fmt::format("{}", UsedSlots(minion))},
           {"held", fmt::format("{}", minion.open.held + minion.reserved.held)},
           {"leaving", minion.leaving ? "yes" : "no"}});
    }
  }
  return section;
}

/// One row per shard and service class with the number of queued requests.
ReportSection DescribeQueues(const Context& context) {
  constexpr std::array<std::string_view, kServiceClassCount> kNames = {
      "urgent", "short", "long"};
  ReportSection section{"queues", {}};
  for (const auto& [shard, minions] : context.state.requests.shards) {
    for (std::size_t i = 0; i < kServiceClassCount; ++i) {
      section.rows.push_back(
          {{"shard", shard.value},
           {"class", std::string(kNames.at(i))},
           {"waiting", fmt::format("{}", minions.queues.at(i).count)}});
    }
  }
  return section;
}

}  // namespace

StateReport Describe(const Context& context) {
  return {DescribeProcess(context), configuration::Describe(context),
          DescribeRoutes(context),  DescribePools(context),
          DescribeQuotas(context),  DescribeMembers(context),
          DescribeShards(context),  DescribeQueues(context),
          DescribeMinions(context), DescribeWorkers(context),
          DescribeJobs(context)};
}

}  // namespace basilspread::internal::report
