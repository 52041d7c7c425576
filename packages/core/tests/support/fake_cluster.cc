#include "support/fake_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <variant>

#include "basilspread/core/reducer.h"
#include "internal/context.h"
#include "internal/ownership.h"

namespace basilspread {
namespace {

const PoolName kPool{"layout"};

Hooks MakeHooks(std::uint32_t shards) {
  Hooks hooks = DefaultHooks();
  hooks.parse_tables = [shards](const TablesRecord& /*record*/) {
    Tables tables;
    Pool pool;
    pool.name = kPool;
    pool.shards = shards;
    tables.pools.emplace(kPool, pool);
    return Result<Tables>(tables);
  };
  return hooks;
}

}  // namespace

FakeCluster::FakeCluster(std::size_t size, std::uint32_t shards)
    : now(std::chrono::hours(1)), processes(size), shard_count(shards) {
  this->AppendRaw(StreamName{"tables"}, ProcessId{NodeName{"basilctl"}, 1},
                  TablesRecord{});
}

void FakeCluster::Start(std::size_t index) {
  FakeProcess& process = this->processes[index];
  process = FakeProcess{{}, {}, {}, false, false, process.runs + 1};
  Settings own = this->settings;
  own.self = ProcessId{NameOf(index), process.runs};
  own.seed = index * 1000 + process.runs;
  own.peer_address = "address-" + own.self.node.value;
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (i != index) {
      own.peers.push_back(NameOf(i));
    }
  }
  process.state.emplace(own, MakeHooks(this->shard_count));
  this->Deliver(index, Started{});
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (i != index && this->processes[i].state) {
      this->Post(i, kDelay, PeerLinkChanged{NameOf(index), true});
      this->Post(index, kDelay, PeerLinkChanged{NameOf(i), true});
    }
  }
}

void FakeCluster::StartAll() {
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    this->Start(i);
  }
}

void FakeCluster::Kill(std::size_t index, bool refuses) {
  FakeProcess& process = this->processes[index];
  process.state.reset();
  process.timers.clear();
  process.pending_events.clear();
  std::erase_if(this->deliveries, [index](const auto& entry) {
    return entry.second.process == index;
  });
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (this->processes[i].state) {
      this->Post(i, kDelay, PeerLinkChanged{NameOf(index), false});
      if (refuses) {
        this->Post(i, kDelay, PeerRefused{NameOf(index)});
      }
    }
  }
}

void FakeCluster::Pause(std::size_t index) {
  this->processes[index].paused = true;
}

void FakeCluster::Resume(std::size_t index) {
  FakeProcess& process = this->processes[index];
  process.paused = false;
  // Due timers go before the pending events, as in the control loop.
  while (this->TakeTimer(this->now)) {
  }
  for (EventBody& body : std::exchange(process.pending_events, {})) {
    this->Deliver(index, std::move(body));
  }
}

void FakeCluster::RequestStop(std::size_t index) {
  this->Deliver(index, StopRequested{});
}

void FakeCluster::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  while (true) {
    const bool has_delivery =
        !this->deliveries.empty() && this->deliveries.begin()->first <= end;
    const TimePoint until =
        has_delivery ? this->deliveries.begin()->first : end;
    if (this->TakeTimer(until)) {
      continue;
    }
    if (!has_delivery) {
      break;
    }
    this->now = until;
    Delivery delivery = std::move(this->deliveries.begin()->second);
    this->deliveries.erase(this->deliveries.begin());
    this->Deliver(delivery.process, std::move(delivery.body));
  }
  this->now = end;
  this->CheckSingleActor();
}

bool FakeCluster::TakeTimer(TimePoint end) {
  std::optional<std::size_t> first;
  TimePoint at = end;
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (!this->IsRunning(i)) {
      continue;
    }
    for (const auto& [kind, due] : this->processes[i].timers) {
      if (due <= at && (!first || due < at)) {
        first = i;
        at = due;
      }
    }
  }
  if (!first) {
    return false;
  }
  this->now = std::max(this->now, at);
  auto& timers = this->processes[*first].timers;
  const auto due =
      std::find_if(timers.begin(), timers.end(),
                   [at](const auto& entry) { return entry.second == at; });
  const TimerKind kind = due->first;
  timers.erase(due);
  this->Deliver(*first, TimerFired{kind});
  return true;
}

bool FakeCluster::IsRunning(std::size_t index) const {
  const FakeProcess& process = this->processes[index];
  return process.state && !process.paused && !process.exited;
}

void FakeCluster::DropMessages(std::size_t from, std::size_t to) {
  this->dropped_links.emplace(from, to);
}

void FakeCluster::DropMessagesUntilReopened(std::size_t from, std::size_t to) {
  this->stalled_links.emplace(from, to);
}

void FakeCluster::AppendRaw(const StreamName& stream, const ProcessId& writer,
                            LogRecord record) {
  FakeStream& target = this->streams[stream];
  LogBatch batch;
  batch.writer = writer;
  batch.id = AppendId{target.End() + 1'000'000};
  batch.records.push_back(std::move(record));
  target.batches.push_back(std::move(batch));
}

void FakeCluster::TrimStream(const StreamName& stream, std::uint64_t first) {
  FakeStream& target = this->streams[stream];
  const auto count = static_cast<std::ptrdiff_t>(first - target.first);
  target.batches.erase(target.batches.begin(), target.batches.begin() + count);
  target.first = first;
}

bool FakeCluster::MayAct(std::size_t index, const ShardId& shard) {
  FakeProcess& process = this->processes[index];
  if (!process.state || process.exited) {
    return false;
  }
  Effects effects;
  const internal::Context context{*process.state, this->now, effects};
  return internal::ownership::MayAct(context, shard);
}

std::optional<std::size_t> FakeCluster::ActorOf(const ShardId& shard) {
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (this->MayAct(i, shard)) {
      return i;
    }
  }
  return std::nullopt;
}

bool FakeCluster::AllServed() {
  const std::vector<ShardId> shards = this->Shards();
  return std::all_of(
      shards.begin(), shards.end(),
      [this](const ShardId& shard) { return this->ActorOf(shard); });
}

std::vector<ShardId> FakeCluster::ServedBy(std::size_t index) {
  std::vector<ShardId> served;
  for (const ShardId& shard : this->Shards()) {
    if (this->MayAct(index, shard)) {
      served.push_back(shard);
    }
  }
  return served;
}

std::vector<ShardId> FakeCluster::Shards() const {
  std::vector<ShardId> shards;
  for (std::uint32_t i = 0; i < this->shard_count; ++i) {
    shards.push_back(ShardId{kPool.value + "#" + std::to_string(i)});
  }
  return shards;
}

std::size_t FakeCluster::CountClaims() const {
  std::size_t count = 0;
  for (const auto& [name, stream] : this->streams) {
    for (const LogBatch& batch : stream.batches) {
      count += static_cast<std::size_t>(
          std::count_if(batch.records.begin(), batch.records.end(),
                        [](const LogRecord& record) {
                          return std::holds_alternative<ClaimRecord>(record);
                        }));
    }
  }
  return count;
}

NodeName FakeCluster::NameOf(std::size_t index) {
  return NodeName{"entry-" + std::to_string(index)};
}

std::size_t FakeCluster::IndexOf(const NodeName& node) const {
  std::size_t index = 0;
  while (NameOf(index) != node) {
    ++index;
  }
  return index;
}

void FakeCluster::Post(std::size_t index, Duration delay, EventBody body) {
  this->deliveries.emplace(this->now + delay, Delivery{index, std::move(body)});
}

void FakeCluster::Deliver(std::size_t index, EventBody body) {
  FakeProcess& process = this->processes[index];
  if (!process.state || process.exited) {
    return;
  }
  if (process.paused) {
    process.pending_events.push_back(std::move(body));
    return;
  }
  Effects effects = Reduce(*process.state, Event{this->now, std::move(body)});
  this->ApplyEffects(index, effects);
  this->CheckSingleActor();
}

void FakeCluster::ApplyEffects(std::size_t index, Effects& effects) {
  for (Effect& effect : effects) {
    this->ApplyEffect(index, effect);
  }
}

void FakeCluster::CheckSingleActor() {
  for (const ShardId& shard : this->Shards()) {
    int actors = 0;
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
      actors += this->MayAct(i, shard) ? 1 : 0;
    }
    if (actors > 1) {
      FAIL("two processes may act on " << shard.value);
    }
  }
}

void FakeCluster::ApplyEffect(std::size_t index, Effect& effect) {
  FakeProcess& process = this->processes[index];
  if (const auto* line = std::get_if<WriteLogLine>(&effect)) {
    this->silent_peer_reports +=
        line->line.message == "Peer went silent." ? 1 : 0;
  } else if (const auto* timer = std::get_if<SetTimer>(&effect)) {
    process.timers[timer->kind] = timer->at;
  } else if (const auto* send = std::get_if<SendToPeer>(&effect)) {
    this->Send(index, *send);
  } else if (const auto* append = std::get_if<AppendLog>(&effect)) {
    this->Append(index, *append);
  } else if (const auto* read = std::get_if<ReadLog>(&effect)) {
    this->Read(index, *read);
  } else if (std::holds_alternative<ReadHosts>(effect)) {
    this->Post(index, kDelay, HostsListed{});
  } else if (const auto* reopen = std::get_if<ReopenLink>(&effect)) {
    ++this->reopened;
    this->stalled_links.erase({index, this->IndexOf(reopen->peer)});
  } else if (std::holds_alternative<ExitProcess>(effect)) {
    process.exited = true;
  }
}

void FakeCluster::Send(std::size_t index, const SendToPeer& send) {
  const std::size_t to = this->IndexOf(send.peer);
  if (!this->dropped_links.contains({index, to}) &&
      !this->stalled_links.contains({index, to})) {
    this->Post(to, kDelay,
               PeerReceived{this->StateOf(index).settings.self, send.message,
                            send.incarnation});
  }
}

void FakeCluster::Append(std::size_t index, const AppendLog& append) {
  LogAppended answer{append.stream, append.batch.id, AppendResult::kRefused};
  if (!this->without_log.contains(index)) {
    ++this->appends;
    this->streams[append.stream].batches.push_back(append.batch);
    answer.result =
        this->lose_answers ? AppendResult::kUnknown : AppendResult::kStored;
  }
  this->Post(index, kDelay * 2, answer);
}

void FakeCluster::Read(std::size_t index, const ReadLog& read) {
  LogRead answer;
  answer.stream = read.stream;
  answer.from = read.from;
  if (!this->without_log.contains(index)) {
    const FakeStream& stream = this->streams[read.stream];
    const std::uint64_t from = std::max(read.from.value, stream.first);
    answer.ok = true;
    answer.at_end = true;
    answer.first_kept = Offset{stream.first};
    answer.next = Offset{stream.End()};
    for (std::uint64_t offset = from; offset < stream.End(); ++offset) {
      answer.batches.push_back(
          StoredBatch{Offset{offset}, stream.batches[offset - stream.first]});
    }
  }
  this->Post(index, kDelay * 2, answer);
}

}  // namespace basilspread
