#include <fmt/format.h>

#include <iterator>
#include <optional>

#include "basilspread/core/state.h"
#include "random/test_cluster.h"

namespace random_test {
namespace {

using basilspread::ProcessId;
using basilspread::StopRequested;
using basilspread::TablesRecord;

constexpr Duration kRaceDelay = std::chrono::seconds(2);

template <typename Map>
auto& ElementAt(Map& map, std::uint32_t index) {
  return *std::next(map.begin(),
                    static_cast<std::ptrdiff_t>(index % map.size()))
              ->second;
}

}  // namespace

TestProcess& TestCluster::ProcessAt(std::uint32_t index) {
  return *this->processes.at(index % this->processes.size());
}

FakeMinion& TestCluster::MinionAt(std::uint32_t index) {
  return ElementAt(this->minions, index);
}

FakeWorker& TestCluster::WorkerAt(std::uint32_t index) {
  return ElementAt(this->workers, index);
}

void TestCluster::Hold(int& counter, Duration lasts) {
  ++counter;
  this->schedule.After(lasts, [&counter] { --counter; });
}

void TestCluster::Begin(const Fault& fault) {
  if (fault.kind <= FaultKind::kStop) {
    this->BeginProcessFault(fault);
  } else if (fault.kind <= FaultKind::kLogCut) {
    this->BeginLogFault(fault);
  } else if (fault.kind <= FaultKind::kPeerSlow) {
    this->BeginPeerFault(fault);
  } else if (fault.kind == FaultKind::kListLag) {
    this->Hold(this->list_lag, fault.lasts);
  } else if (fault.kind <= FaultKind::kHostLeaves) {
    this->BeginMinionFault(fault);
  } else if (fault.kind <= FaultKind::kWorkerFails) {
    this->BeginWorkerFault(fault);
  } else {
    this->PublishEdit(fmt::format("operator-{}", this->next_edit), Duration{});
    if (fault.kind == FaultKind::kRacingEdits) {
      this->PublishEdit(fmt::format("operator-{}", this->next_edit),
                        kRaceDelay);
    }
  }
}

void TestCluster::BeginProcessFault(const Fault& fault) {
  TestProcess& process = this->ProcessAt(fault.first);
  if (fault.kind == FaultKind::kPause) {
    process.Pause();
    this->schedule.After(fault.lasts, [&process] { process.Resume(); });
    return;
  }
  if (fault.kind == FaultKind::kStop) {
    if (process.IsAlive() && !process.stopping) {
      process.stopping = true;
      process.Post(StopRequested{});
    }
    return;
  }
  this->Kill(process);
  this->schedule.After(fault.lasts, [this, &process] {
    if (!process.IsAlive()) {
      this->StartAgain(process);
    }
  });
}

void TestCluster::Kill(TestProcess& process) {
  process.Kill();
  for (const CallId call : this->waiting[process.Node()]) {
    this->ledger.OnCallerLost(call);
  }
  this->waiting[process.Node()].clear();
  this->network.OnNodeChanged(process.Node());
}

void TestCluster::StartAgain(TestProcess& process) {
  process.Start();
  this->network.OnNodeChanged(process.Node());
}

void TestCluster::BeginLogFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kLogDown:
      return this->Hold(this->log.down, fault.lasts);
    case FaultKind::kLogLoseAnswers:
      return this->Hold(this->log.losing_answers, fault.lasts);
    case FaultKind::kLogSlow:
      return this->Hold(this->log.slow, fault.lasts);
    default:
      break;
  }
  const NodeName node = this->ProcessAt(fault.first).Node();
  const auto entry = this->log.cut.insert(node);
  this->schedule.After(fault.lasts,
                       [this, entry] { this->log.cut.erase(entry); });
}

void TestCluster::BeginPeerFault(const Fault& fault) {
  if (fault.kind == FaultKind::kPeerSlow) {
    return this->Hold(this->network.slow, fault.lasts);
  }
  const NodeName from = this->ProcessAt(fault.first).Node();
  const NodeName to = this->ProcessAt(fault.second).Node();
  if (from == to) {
    return;
  }
  if (fault.kind == FaultKind::kPeerSilent) {
    this->network.Silence(from, to);
    this->schedule.After(fault.lasts,
                         [this, from, to] { this->network.Reopen(from, to); });
    return;
  }
  this->network.SetCut(from, to, true);
  this->schedule.After(
      fault.lasts, [this, from, to] { this->network.SetCut(from, to, false); });
}

void TestCluster::BeginMinionFault(const Fault& fault) {
  FakeMinion& minion = this->MinionAt(fault.first);
  switch (fault.kind) {
    case FaultKind::kMinionRefuses:
      return this->Hold(minion.refusing, fault.lasts);
    case FaultKind::kMinionFreezes:
      return this->Hold(minion.frozen, fault.lasts);
    case FaultKind::kMinionLosesAnswers:
      return this->Hold(minion.losing_answers, fault.lasts);
    case FaultKind::kMinionFails:
      return this->Hold(minion.failing, fault.lasts);
    default:
      break;
  }
  basilspread::Host& host = this->hosts.at(fault.first % this->minions.size());
  if (host.leaving) {
    return;
  }
  host.leaving = true;
  minion.leaving_since = this->schedule.Now();
  this->schedule.After(fault.lasts, [&host, &minion] {
    host.leaving = false;
    minion.leaving_since.reset();
  });
}

void TestCluster::BeginWorkerFault(const Fault& fault) {
  FakeWorker& worker = this->WorkerAt(fault.first);
  switch (fault.kind) {
    case FaultKind::kWorkerLosesAnswers:
      return this->Hold(worker.losing_answers, fault.lasts);
    case FaultKind::kWorkerUnreachable:
      return this->Hold(worker.unreachable, fault.lasts);
    case FaultKind::kWorkerSlow:
      return this->Hold(worker.slow, fault.lasts);
    case FaultKind::kWorkerFails:
      return this->Hold(worker.failing, fault.lasts);
    default:
      break;
  }
  const auto entry = worker.cut.insert(this->ProcessAt(fault.second).Node());
  this->schedule.After(fault.lasts,
                       [&worker, entry] { worker.cut.erase(entry); });
}

void TestCluster::CheckTables(const TestProcess& process) {
  const auto& configuration = process.GetState().configuration;
  TablesSeen& seen = this->tables_seen[process.Node()];
  if (seen.incarnation != process.Self().incarnation) {
    seen = TablesSeen{process.Self().incarnation, {}};
  }
  if (configuration.tables.version == seen.version) {
    return;
  }
  if (configuration.tables.version < seen.version) {
    throw Violation("The tables revert. node=" + process.Node().value);
  }
  seen.version = configuration.tables.version;
  std::uint64_t version = 0;
  std::optional<TablesRecord> expected;
  for (const StoredBatch& stored : this->log.History(StreamName{"tables"})) {
    for (const auto& record : stored.batch.records) {
      const auto* edit = std::get_if<TablesRecord>(&record);
      if (edit != nullptr && edit->base.value == version &&
          version < seen.version.value) {
        ++version;
        expected = *edit;
      }
    }
  }
  if (!expected || expected->author != configuration.source.author) {
    throw Violation(fmt::format(
        "A process has other tables than the log's order gives. node={} "
        "version={} author={}",
        process.Node().value, seen.version.value, configuration.source.author));
  }
}

void TestCluster::CheckOwners() {
  std::map<ShardId, std::vector<ProcessId>> owners;
  for (const auto& process : this->processes) {
    for (const auto& [shard, ownership] :
         process->GetState().ownership.shards) {
      owners[shard];
      if (ownership.owned_by_self) {
        owners[shard].push_back(process->Self());
      }
    }
  }
  for (const auto& [shard, processes] : owners) {
    if (processes.size() != 1) {
      throw Violation(fmt::format(
          "A shard has not one owner after the faults. shard={} owners={}",
          shard.value, processes.size()));
    }
  }
}

void TestCluster::CheckSettled() {
  this->ledger.CheckAnswered();
  this->CheckOwners();
  const auto version =
      this->ProcessAt(0).GetState().configuration.tables.version;
  for (const auto& process : this->processes) {
    if (process->GetState().configuration.tables.version != version) {
      throw Violation("The tables differ after the faults. node=" +
                      process->Node().value);
    }
  }
  const auto unfinished = this->ledger.Unfinished();
  if (!unfinished.empty()) {
    throw Violation("An accepted job is unfinished. job=" +
                    unfinished.front().value);
  }
}

}  // namespace random_test
