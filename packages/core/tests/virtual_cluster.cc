#include "virtual_cluster.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "basilspread/core/reducer.h"

namespace test {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

constexpr Duration kPeerDelay = 1ms;
constexpr Duration kMinionDelay = 1ms;
constexpr Duration kLogDelay = 3ms;

NodeName NameOf(std::size_t node) {
  return NodeName{"node-" + std::to_string(node)};
}

Settings MakeSettings(std::size_t node, std::size_t count, std::uint64_t seed) {
  Settings settings;
  settings.self = ProcessId{NameOf(node), 100 + node};
  settings.seed = seed * 1000 + node;
  for (std::size_t other = 0; other < count; ++other) {
    if (other != node) {
      settings.peers.push_back(NameOf(other));
    }
  }
  return settings;
}

}  // namespace

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

VirtualCluster::VirtualCluster(std::size_t node_count, std::uint64_t seed)
    : tables(SmallTables()) {
  for (std::size_t i = 0; i < node_count; ++i) {
    Hooks hooks = DefaultHooks();
    hooks.parse_tables = [this](const TablesRecord&) -> Result<Tables> {
      return this->tables;
    };
    auto node = std::make_unique<Node>();
    node->state = std::make_unique<State>(MakeSettings(i, node_count, seed),
                                          std::move(hooks));
    this->nodes.push_back(std::move(node));
  }
}

void VirtualCluster::AddMinion(const std::string& name, std::uint32_t slots,
                               const std::string& rack) {
  VirtualMinion minion;
  minion.host.name = HostName{name};
  minion.host.address = name;
  minion.host.group = "minions";
  minion.host.rack = rack;
  minion.host.slots = slots;
  this->minions[minion.host.name] = minion;
}

void VirtualCluster::SetLeaving(const std::string& name) {
  this->minions.at(HostName{name}).host.leaving = true;
}

void VirtualCluster::Start() {
  LogBatch batch;
  batch.writer = ProcessId{NodeName{"operator"}, 1};
  batch.id = AppendId{1};
  batch.records.emplace_back(TablesRecord{TablesVersion{0}, "test", "", ""});
  this->log[StreamName{"tables"}].push_back(batch);
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->Post(i, Started{});
    for (std::size_t peer = 0; peer < this->nodes.size(); ++peer) {
      if (peer != i) {
        this->Post(i, PeerLinkChanged{NameOf(peer), true});
      }
    }
  }
  this->RunUntil(
      [this] {
        for (const auto& [name, pool] : this->tables.pools) {
          for (std::uint32_t shard = 0; shard < pool.shards; ++shard) {
            if (!this->OwnerOf(name.value + "#" + std::to_string(shard))) {
              return false;
            }
          }
        }
        return true;
      },
      20s);
  this->RunFor(1s);
}

void VirtualCluster::RunFor(Duration duration) {
  const TimePoint end = this->now + duration;
  this->At(end, [] {});
  while (!this->actions.empty() && this->actions.begin()->first <= end) {
    this->Step();
  }
}

bool VirtualCluster::RunUntil(const std::function<bool()>& condition,
                              Duration limit) {
  const TimePoint end = this->now + limit;
  while (!condition()) {
    if (this->actions.empty() || this->actions.begin()->first > end) {
      return false;
    }
    this->Step();
  }
  return true;
}

CallId VirtualCluster::Call(std::size_t node, const std::string& route,
                            const std::string& body, const std::string& key,
                            Duration deadline, const std::string& team) {
  RequestArrived arrived;
  arrived.call = CallId{++this->last_call};
  arrived.route = RouteName{route};
  arrived.team = TeamName{team};
  arrived.idempotency_key = key;
  arrived.deadline = deadline;
  boost::intrusive_ptr<Payload> payload(new Payload);
  payload->method = "POST";
  payload->target = "/" + route;
  payload->body = body;
  arrived.payload = payload;
  VirtualCall call;
  call.node = node;
  call.route = arrived.route;
  call.sent = this->now;
  this->calls.emplace(arrived.call, call);
  const CallId id = arrived.call;
  this->Post(node, std::move(arrived));
  return id;
}

bool VirtualCluster::IsAnswered(CallId call) const {
  return this->calls.at(call).answered.has_value();
}

void VirtualCluster::Kill(std::size_t node) {
  this->nodes[node]->alive = false;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (i != node && this->nodes[i]->alive) {
      this->Post(i, PeerLinkChanged{NameOf(node), false});
    }
  }
}

std::optional<std::size_t> VirtualCluster::OwnerOf(
    const std::string& shard) const {
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const auto& shards = this->nodes[i]->state->ownership.shards;
    const auto found = shards.find(ShardId{shard});
    const bool is_owner = found != shards.end() && found->second.owned_by_self;
    if (this->nodes[i]->alive && is_owner) {
      return i;
    }
  }
  return std::nullopt;
}

void VirtualCluster::Post(std::size_t node, EventBody body) {
  Node& target = *this->nodes[node];
  if (!target.alive) {
    return;
  }
  const Duration start = ProcessorTime();
  const Effects effects =
      Reduce(*target.state, Event{this->now, std::move(body)});
  this->last_reduction = ProcessorTime() - start;
  for (const Effect& effect : effects) {
    this->ExecuteEffect(node, effect);
  }
}

void VirtualCluster::At(TimePoint time, std::function<void()> action) {
  this->actions.emplace(time, std::move(action));
}

void VirtualCluster::Step() {
  const auto first = this->actions.begin();
  this->now = first->first;
  const std::function<void()> action = std::move(first->second);
  this->actions.erase(first);
  action();
}

void VirtualCluster::ExecuteEffect(std::size_t node, const Effect& effect) {
  if (this->on_effect) {
    this->on_effect(node, effect);
  }
  std::visit([this, node](const auto& body) { this->Handle(node, body); },
             effect);
}

void VirtualCluster::Handle(std::size_t node, const SetTimer& timer) {
  const TimerKind kind = timer.kind;
  const TimePoint at = std::max(timer.at, this->now);
  this->nodes[node]->timers[kind] = at;
  this->At(at, [this, node, kind, at] {
    auto& timers = this->nodes[node]->timers;
    const auto armed = timers.find(kind);
    if (armed != timers.end() && armed->second == at) {
      timers.erase(armed);
      this->Post(node, TimerFired{kind});
    }
  });
}

void VirtualCluster::Handle(std::size_t /*node*/, const AnswerCaller& answer) {
  VirtualCall& call = this->calls.at(answer.call);
  // A second answer to a call is an error of the reducer.
  if (call.answered) {
    throw std::logic_error("the call was answered twice");
  }
  call.answered = this->now;
  call.kind = answer.kind;
  call.detail = answer.detail;
  if (answer.payload) {
    call.status = answer.payload->status;
    call.body = answer.payload->body;
  }
  if (this->on_answer) {
    this->on_answer(answer.call, call);
  }
}

void VirtualCluster::Handle(std::size_t node, const SendToMinion& send) {
  MinionReply reply;
  if (this->reply) {
    reply = this->reply(send);
  } else {
    reply.work = std::chrono::microseconds(std::stoll(send.payload->body));
  }
  MinionAnswered answered{send.request, send.attempt, send.host,
                          reply.result, nullptr,      reply.work};
  if (this->now >= send.not_after) {
    answered.result = MinionResult::kNotSent;
    this->At(this->now, [this, node, answered] { this->Post(node, answered); });
    return;
  }
  VirtualMinion& minion = this->minions.at(send.host);
  const bool reached = reply.result == MinionResult::kAnswered ||
                       reply.result == MinionResult::kLost;
  if (reached) {
    ++minion.runs;
    ++minion.runs_by_body[send.payload->body];
    ++minion.running;
    minion.peak = std::max(minion.peak, minion.running);
    this->overcommits += minion.running > minion.host.slots ? 1 : 0;
    minion.busy += reply.work;
    this->At(this->now + reply.work, [&minion] { --minion.running; });
  }
  TimePoint end = this->now + reply.work + kMinionDelay;
  if (reply.is_silent || end > send.deadline) {
    answered.result = MinionResult::kLost;
    end = send.deadline;
  }
  if (answered.result == MinionResult::kAnswered) {
    boost::intrusive_ptr<Payload> payload(new Payload);
    payload->status = reply.status;
    payload->body = send.payload->body;
    answered.payload = payload;
  }
  this->At(end, [this, node, answered] { this->Post(node, answered); });
}

void VirtualCluster::Handle(std::size_t node, const SendToPeer& send) {
  if (!this->links_up) {
    this->At(this->now, [this, node, send] {
      this->Post(node,
                 PeerMessageNotSent{send.peer, send.message, send.incarnation});
    });
    return;
  }
  ++this->messages;
  if (this->on_message && !this->on_message(node, send)) {
    return;
  }
  const ProcessId from = this->nodes[node]->state->settings.self;
  const std::size_t to = this->IndexOf(send.peer);
  this->At(this->now + kPeerDelay, [this, to, from, send] {
    this->Post(to, PeerReceived{from, send.message, send.incarnation});
  });
}

void VirtualCluster::Handle(std::size_t node, const AppendLog& append) {
  const bool is_stored = this->log_up;
  if (is_stored) {
    this->log[append.stream].push_back(append.batch);
  }
  const LogAppended answer{
      append.stream, append.batch.id,
      is_stored ? AppendResult::kStored : AppendResult::kRefused};
  this->At(this->now + kLogDelay,
           [this, node, answer] { this->Post(node, answer); });
}

void VirtualCluster::Handle(std::size_t node, const ReadLog& read) {
  LogRead answer;
  answer.stream = read.stream;
  answer.from = read.from;
  answer.ok = this->log_up;
  if (answer.ok) {
    const std::vector<LogBatch>& batches = this->log[read.stream];
    for (std::uint64_t i = read.from.value; i < batches.size(); ++i) {
      answer.batches.push_back(StoredBatch{Offset{i}, batches[i]});
    }
    answer.next = Offset{batches.size()};
    answer.at_end = true;
  }
  this->At(this->now + kLogDelay,
           [this, node, answer] { this->Post(node, answer); });
}

void VirtualCluster::Handle(std::size_t node, const ReadHosts& /*read*/) {
  HostsListed listed;
  listed.ok = true;
  for (const auto& [name, minion] : this->minions) {
    listed.hosts.push_back(minion.host);
  }
  for (const auto& [name, host] : this->worker_hosts) {
    listed.hosts.push_back(host);
  }
  this->At(this->now + kLogDelay,
           [this, node, listed] { this->Post(node, listed); });
}

void VirtualCluster::Handle(std::size_t node, const CallWorker& call) {
  if (this->on_worker_call) {
    this->on_worker_call(node, call);
  }
}

void VirtualCluster::Handle(std::size_t /*node*/,
                            const AnswerJobCaller& effect) {
  if (this->on_job_answer) {
    this->on_job_answer(effect.answer);
  }
}

std::size_t VirtualCluster::IndexOf(const NodeName& node) const {
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (NameOf(i) == node) {
      return i;
    }
  }
  throw std::logic_error("unknown node name");
}

Tables SmallTables() {
  Tables tables;
  Pool pool;
  pool.name = PoolName{"pool"};
  pool.group = "minions";
  pool.shards = 1;
  pool.short_reserve_percent = 25;
  tables.pools.emplace(pool.name, pool);
  Route quick;
  quick.name = RouteName{"quick"};
  quick.pool = pool.name;
  quick.deadline = 2s;
  quick.idempotent = true;
  quick.retries = 1;
  quick.expected_run_time = 10ms;
  tables.routes.emplace(quick.name, quick);
  Route once = quick;
  once.name = RouteName{"once"};
  once.idempotent = false;
  tables.routes.emplace(once.name, once);
  Route slow = quick;
  slow.name = RouteName{"slow"};
  slow.service_class = ServiceClass::kLong;
  slow.deadline = 30s;
  slow.expected_run_time = 1s;
  tables.routes.emplace(slow.name, slow);
  return tables;
}

}  // namespace test
