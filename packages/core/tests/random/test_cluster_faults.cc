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

void TestCluster::ActivateFor(int& counter, Duration duration) {
  ++counter;
  this->schedule.After(duration, [&counter] { --counter; });
}

void TestCluster::ApplyFault(const Fault& fault) {
  if (fault.kind <= FaultKind::kStop) {
    this->ApplyProcessFault(fault);
  } else if (fault.kind <= FaultKind::kLogCut) {
    this->ApplyLogFault(fault);
  } else if (fault.kind <= FaultKind::kPeerSlow) {
    this->ApplyPeerFault(fault);
  } else if (fault.kind == FaultKind::kListLag) {
    this->ActivateFor(this->list_lag, fault.duration);
  } else if (fault.kind <= FaultKind::kHostLeaves) {
    this->ApplyMinionFault(fault);
  } else if (fault.kind <= FaultKind::kWorkerFails) {
    this->ApplyWorkerFault(fault);
  } else {
    this->PublishEdit(fmt::format("operator-{}", this->next_edit), Duration{});
    if (fault.kind == FaultKind::kRacingEdits) {
      this->PublishEdit(fmt::format("operator-{}", this->next_edit),
                        kRaceDelay);
    }
  }
}

void TestCluster::ApplyProcessFault(const Fault& fault) {
  TestProcess& process = this->ProcessAt(fault.first);
  if (fault.kind == FaultKind::kPause) {
    process.Pause();
    this->schedule.After(fault.duration, [&process] { process.Resume(); });
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
  this->schedule.After(fault.duration, [this, &process] {
    if (!process.IsAlive()) {
      this->StartProcess(process);
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

void TestCluster::StartProcess(TestProcess& process) {
  process.Start();
  this->network.OnNodeChanged(process.Node());
}

void TestCluster::ApplyLogFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kLogDown:
      return this->ActivateFor(this->log.down, fault.duration);
    case FaultKind::kLogLoseAnswers:
      return this->ActivateFor(this->log.dropping_answers, fault.duration);
    case FaultKind::kLogSlow:
      return this->ActivateFor(this->log.slow, fault.duration);
    default:
      break;
  }
  const NodeName node = this->ProcessAt(fault.first).Node();
  const auto entry = this->log.cut.insert(node);
  this->schedule.After(fault.duration,
                       [this, entry] { this->log.cut.erase(entry); });
}

void TestCluster::ApplyPeerFault(const Fault& fault) {
  if (fault.kind == FaultKind::kPeerSlow) {
    return this->ActivateFor(this->network.slow, fault.duration);
  }
  const NodeName from = this->ProcessAt(fault.first).Node();
  const NodeName to = this->ProcessAt(fault.second).Node();
  if (from == to) {
    return;
  }
  if (fault.kind == FaultKind::kPeerSilent) {
    this->network.Silence(from, to);
    this->schedule.After(fault.duration,
                         [this, from, to] { this->network.Reopen(from, to); });
    return;
  }
  this->network.SetCut(from, to, true);
  this->schedule.After(fault.duration, [this, from, to] {
    this->network.SetCut(from, to, false);
  });
}

void TestCluster::ApplyMinionFault(const Fault& fault) {
  FakeMinion& minion = this->MinionAt(fault.first);
  switch (fault.kind) {
    case FaultKind::kMinionRefuses:
      return this->ActivateFor(minion.refusing, fault.duration);
    case FaultKind::kMinionFreezes:
      return this->ActivateFor(minion.frozen, fault.duration);
    case FaultKind::kMinionLosesAnswers:
      return this->ActivateFor(minion.dropping_answers, fault.duration);
    case FaultKind::kMinionFails:
      return this->ActivateFor(minion.failing, fault.duration);
    default:
      break;
  }
  basilspread::Host& host = this->hosts.at(fault.first % this->minions.size());
  if (host.leaving) {
    return;
  }
  host.leaving = true;
  minion.leaving_since = this->schedule.Now();
  this->schedule.After(fault.duration, [&host, &minion] {
    host.leaving = false;
    minion.leaving_since.reset();
  });
}

void TestCluster::ApplyWorkerFault(const Fault& fault) {
  FakeWorker& worker = this->WorkerAt(fault.first);
  switch (fault.kind) {
    case FaultKind::kWorkerLosesAnswers:
      return this->ActivateFor(worker.dropping_answers, fault.duration);
    case FaultKind::kWorkerUnreachable:
      return this->ActivateFor(worker.unreachable, fault.duration);
    case FaultKind::kWorkerSlow:
      return this->ActivateFor(worker.slow, fault.duration);
    case FaultKind::kWorkerFails:
      return this->ActivateFor(worker.failing, fault.duration);
    default:
      break;
  }
  const auto entry = worker.cut.insert(this->ProcessAt(fault.second).Node());
  this->schedule.After(fault.duration,
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
    throw Violation("The tables go back to an older version. node=" +
                    process.Node().value);
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
        "A process has other tables than the order of the log gives. node={} "
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
          "A shard does not have exactly one owner after the faults. "
          "shard={} owners={}",
          shard.value, processes.size()));
    }
  }
}

void TestCluster::CheckFinalState() {
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
  const auto unfinished = this->ledger.UnfinishedJobs();
  if (!unfinished.empty()) {
    throw Violation("An accepted job is unfinished. job=" +
                    unfinished.front().value);
  }
}

}  // namespace random_test
