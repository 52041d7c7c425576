#include <string>

#include "basilspread/wire/peer_codec.h"
#include "basilspread/wire/record_codec.h"
#include "capacity/measures.h"
#include "capacity/usage.h"
#include "virtual_cluster.h"

namespace capacity {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kRun = std::chrono::seconds(20);
constexpr std::uint64_t kSeed = 1;
constexpr std::uint32_t kShardsPerMember = 2;
/// Bytes that HTTP's head adds to a call of the log, request and answer.
constexpr double kHttpHeadBytes = 300;

/// What all members do in one run while nothing is asked of them.
struct IdleCost {
  double peer_bytes = 0;
  double peer_messages = 0;
  double log_reads = 0;
  double log_appends = 0;
  double log_bytes = 0;
  double cpu_microseconds = 0;

  void Add(const basilspread::ProcessId& sender,
           const basilspread::Effect& effect) {
    if (const auto* send = std::get_if<basilspread::SendToPeer>(&effect)) {
      const auto frame =
          basilspread::wire::EncodeFrame({sender, send->message});
      this->peer_bytes += static_cast<double>(frame.value().size());
      ++this->peer_messages;
    } else if (std::holds_alternative<basilspread::ReadLog>(effect)) {
      ++this->log_reads;
      this->log_bytes += kHttpHeadBytes;
    } else if (const auto* append =
                   std::get_if<basilspread::AppendLog>(&effect)) {
      ++this->log_appends;
      this->log_bytes +=
          kHttpHeadBytes +
          static_cast<double>(
              basilspread::wire::EncodeBatch(append->batch).size());
    }
  }
};

IdleCost RunIdle(std::size_t members) {
  test::VirtualCluster cluster(members, kSeed);
  basilspread::Pool& pool = cluster.tables.pools.begin()->second;
  pool.shards = static_cast<std::uint32_t>(members) * kShardsPerMember;
  for (std::size_t i = 0; i < members * 8; ++i) {
    cluster.AddMinion("minion-" + std::to_string(i), 8,
                      "rack-" + std::to_string(i / 8));
  }
  cluster.Start();
  IdleCost cost;
  const auto start = CpuTime();
  cluster.RunFor(kRun);
  cost.cpu_microseconds = Microseconds(CpuTime() - start);
  // A second run counts, so that counting does not add to the time.
  cluster.on_effect = [&cost, &cluster](std::size_t node,
                                        const basilspread::Effect& effect) {
    cost.Add(cluster.StateOf(node).settings.self, effect);
  };
  cluster.RunFor(kRun);
  return cost;
}

}  // namespace

Slopes MeasureMembers() {
  std::vector<Sample> bytes;
  std::vector<Sample> messages;
  std::vector<Sample> cpu;
  std::vector<Sample> reads;
  std::vector<Sample> appends;
  std::vector<Sample> log_bytes;
  for (const std::size_t members : {4, 8, 16, 32}) {
    const IdleCost cost = RunIdle(members);
    const auto size = static_cast<double>(members);
    const double seconds = std::chrono::duration<double>(kRun).count();
    const double node_seconds = seconds * size;
    bytes.push_back({size, cost.peer_bytes / node_seconds});
    messages.push_back({size, cost.peer_messages / node_seconds});
    cpu.push_back({size, cost.cpu_microseconds / node_seconds});
    reads.push_back({size, cost.log_reads / node_seconds});
    log_bytes.push_back({size, cost.log_bytes / node_seconds});
    appends.push_back({size, cost.log_appends / seconds});
  }
  return {FitLine("peer bytes sent a node, B/s", "members", bytes),
          FitLine("peer messages sent a node, 1/s", "members", messages),
          FitLine("control CPU of a node, us/s", "members", cpu),
          FitLine("log reads of a node, 1/s", "members", reads),
          FitLine("log bytes of a node, B/s", "members", log_bytes),
          FitLine("log appends of all nodes, 1/s", "members", appends)};
}

}  // namespace capacity
