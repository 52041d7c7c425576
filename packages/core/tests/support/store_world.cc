#include "support/store_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "basilspread/core/hooks.h"
#include "support/store_world_log.h"
#include "support/store_world_node.h"
#include "support/store_world_times.h"

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Includes the 2.5 s during which a new leader starts no inherited work.
constexpr Duration kSettleTime = seconds(5);
/// How long the store holds a read of the tables.
constexpr Duration kFollowWait = seconds(1);
/// Delay between closing a link and reopening it.
constexpr Duration kReopenTime = milliseconds(100);
const Resources kDemand{1000, 256, 0};

QueueTables MakeTables() {
  QueueRoute route;
  route.name = RouteName{"plans"};
  route.authority = "cluster";
  route.path_prefix = "/plans/";
  route.policy.pool = PoolName{"pool"};
  route.policy.max_attempts = kMaxAttempts;
  route.policy.stretch = 2.0;
  route.policy.target_latency = seconds(1);
  route.policy.advice =
      AdvicePolicy{milliseconds(5), milliseconds(1), milliseconds(1500)};
  QueueTables tables;
  tables.version = TablesVersion{1};
  tables.routes = {route};
  // A route to the same pool without advice and with a shorter target.
  route.name = RouteName{"previews"};
  route.path_prefix = "/previews/";
  route.policy.target_latency = milliseconds(250);
  route.policy.advice.reset();
  tables.routes.push_back(route);
  // A route to the same pool whose advice is costly.
  route.name = RouteName{"wide"};
  route.path_prefix = "/wide/";
  route.policy.target_latency = seconds(1);
  route.policy.advice = kCostlyAdvice;
  tables.routes.push_back(route);
  return tables;
}

Settings MakeSettings(int index, bool carries_calls) {
  Settings settings;
  settings.self.node = NodeName{"node-" + std::to_string(index)};
  settings.self.incarnation = static_cast<std::uint64_t>(index) + 1;
  settings.peer_address = "127.0.0.1:" + std::to_string(9000 + index);
  settings.zone = ZoneOf(index);
  settings.store.enabled = true;
  settings.store.carries_calls = carries_calls;
  settings.admission.strict_revocation = true;
  return settings;
}

}  // namespace

/// Applies the effects of one node.
struct StoreWorld::EffectHandler {
  StoreWorld& world;
  Node& node;

  void operator()(const CountMetric& effect) const {
    this->world.measured.insert(effect.metric);
  }

  void operator()(const ObserveTime& effect) const {
    this->world.measured.insert(effect.metric);
  }

  void operator()(const SetGauge& effect) const {
    this->world.measured.insert(effect.metric);
  }

  void operator()(const SetTimer& effect) const {
    this->node.timers[effect.kind] = effect.at;
    this->node.due_timers.erase(effect.kind);
    StoreWorld* target = &this->world;
    Node* owner = &this->node;
    target->ScheduleAction(effect.at - target->now, [target, owner, effect] {
      const auto timer = owner->timers.find(effect.kind);
      if (timer != owner->timers.end() && timer->second == effect.at) {
        owner->timers.erase(timer);
        target->Post(owner->index, TimerFired{effect.kind});
      }
    });
  }

  void operator()(const JoinGroup& effect) const {
    GroupJoined joined;
    joined.channel = effect.channel;
    joined.sent_at = this->world.now;
    const bool is_lost =
        this->world.lost_joins > 0 && this->world.Leader() == this->node.index;
    this->world.lost_joins -= is_lost ? 1 : 0;
    if (is_lost || !this->world.ReachesStore(this->node.index)) {
      this->world.PostAfter(this->node.index, kTimeout, joined);
      return;
    }
    this->world.joined.insert(this->node.index);
    const bool is_new = !this->world.members.contains(effect.member);
    this->world.members[effect.member] = this->world.now + effect.time_to_live;
    this->world.generation += is_new ? 1 : 0;
    this->world.AssignLeadership();
    joined.ok = true;
    joined.generation = this->world.generation;
    joined.leads = this->world.leader_member == effect.member &&
                   this->world.next_member.empty();
    const bool gives_up = !this->world.next_member.empty() &&
                          this->world.leader_member == effect.member &&
                          effect.generation >= this->world.generation;
    if (gives_up) {
      this->world.leader_member = std::exchange(this->world.next_member, "");
      ++this->world.leader_changes;
    }
    this->world.PostAfter(this->node.index, this->world.store_time, joined);
  }

  void operator()(const LeaveGroup& effect) const {
    if (!this->world.ReachesStore(this->node.index)) {
      return;
    }
    this->world.generation +=
        this->world.members.erase(effect.member) > 0 ? 1 : 0;
    this->world.AssignLeadership();
  }

  void operator()(const ReadLeader& /*effect*/) const {
    const bool ok = this->world.ReachesStore(this->node.index);
    if (ok) {
      this->world.AssignLeadership();
    }
    this->world.PostAfter(this->node.index,
                          ok ? this->world.store_time : kTimeout,
                          LeaderRead{ok, this->world.leader_member});
  }

  void operator()(const AppendWork& effect) const {
    this->world.Append(this->node.index, effect);
  }

  void operator()(const ListWork& effect) const {
    WorkListed listed;
    listed.epoch = effect.epoch;
    const StoreWorld& store = this->world;
    listed.ok = !store.store_is_down &&
                !(store.loses_page && store.loses_page(effect.after));
    std::string last = effect.after;
    for (auto record = store.log.upper_bound(effect.after);
         record != store.log.end(); ++record) {
      if (listed.records.size() == store.records_per_page) {
        listed.next = last;
        break;
      }
      last = record->first;
      const bool is_readable = IsReadable(record->second) &&
                               !store.unreadable_keys.contains(record->first);
      if (is_readable) {
        listed.records.push_back(record->second);
      } else {
        listed.unreadable.push_back(SubjectOf(record->first));
      }
    }
    this->world.PostAfter(this->node.index,
                          listed.ok ? store.list_time : kTimeout,
                          std::move(listed));
  }

  void operator()(const ReadTables& /*effect*/) const {
    TablesRead read;
    read.ok = true;
    read.tables = this->world.Tables();
    read.sent_at = this->world.now;
    read.is_newest = true;
    if (this->world.workspaces && !this->world.ReachesStore(this->node.index)) {
      read = TablesRead{};
    }
    this->world.PostAfter(this->node.index, kCallTime, std::move(read));
  }

  /// Answered only where tables have workspaces; other tests need no
  /// confirmations.
  void operator()(const FollowTables& /*effect*/) const {
    if (!this->world.workspaces) {
      return;
    }
    StoreWorld* target = &this->world;
    const int index = this->node.index;
    const TimePoint sent_at = target->now;
    target->ScheduleAction(kFollowWait, [target, index, sent_at] {
      TablesRead read;
      read.ok = target->ReachesStore(index);
      read.is_newest = read.ok;
      read.sent_at = sent_at;
      if (read.ok) {
        read.tables = target->Tables();
      }
      target->Post(index, std::move(read));
    });
  }

  void operator()(const ListFleet& effect) const {
    FleetRead read;
    read.epoch = effect.epoch;
    read.ok = !this->world.store_is_down;
    read.is_listing = true;
    for (const auto& [name, worker] : this->world.workers) {
      if (!worker.is_gone && !worker.is_unlisted) {
        read.entries.push_back(worker.stored_entry.value_or(worker.entry));
      }
    }
    this->world.PostAfter(this->node.index, kCallTime, std::move(read));
  }

  void operator()(const FollowFleet& /*effect*/) const {
    ++this->world.fleet_follows;
  }

  void operator()(const PollWorker& effect) const {
    const TimePoint now = this->world.now;
    if (!this->world.ReachesWorker(this->node.index, effect.worker)) {
      WorkerPolled polled;
      polled.worker = effect.worker;
      polled.fence = effect.fence;
      polled.sent_at = now;
      polled.number = effect.number;
      this->world.PostAfter(this->node.index, effect.wait + kPollTimeout,
                            std::move(polled));
      return;
    }
    this->world.Poll(this->node.index, effect, now, now + effect.wait);
  }

  void operator()(const StartRun& effect) const {
    StoreWorld* target = &this->world;
    RunOrdered ordered{effect.worker, effect.fence,          effect.name,
                       false,         OrderResult::kUnknown, effect.number};
    if (target->unsent_starts > 0) {
      --target->unsent_starts;
      ordered.result = OrderResult::kNotSent;
      target->PostAfter(this->node.index, kTimeout, ordered);
      return;
    }
    if (target->start_delay > Duration::zero()) {
      const int index = this->node.index;
      target->ScheduleAction(target->start_delay, [target, index, effect] {
        target->Start(index, effect);
      });
      target->PostAfter(this->node.index, kOrderTimeout, ordered);
      return;
    }
    ordered.result = target->Start(this->node.index, effect);
    if (ordered.result == OrderResult::kDone) {
      ordered.clock = target->ClockOfWorker(effect.worker);
    }
    const bool is_lost = ordered.result == OrderResult::kUnknown;
    target->PostAfter(this->node.index, is_lost ? kOrderTimeout : kCallTime,
                      ordered);
  }

  void operator()(const StopRun& effect) const {
    const RunOrdered ordered{effect.worker,
                             effect.fence,
                             effect.name,
                             true,
                             this->world.Stop(this->node.index, effect),
                             effect.number};
    const bool is_lost = ordered.result == OrderResult::kUnknown;
    this->world.PostAfter(this->node.index, is_lost ? kOrderTimeout : kCallTime,
                          ordered);
  }

  void operator()(const AskAdvice& effect) const {
    ++this->world.advice_queries;
    AdviceGiven given{effect.number, true, {}, milliseconds(1500)};
    for (const HostName& worker : effect.workers) {
      if (!this->world.is_allowed || this->world.is_allowed(worker)) {
        given.tickets.push_back({worker, "ticket"});
      }
    }
    Duration time = milliseconds(8);
    if (const auto& cost = this->world.advisor_time) {
      TimePoint& busy = this->node.advisor_busy_until;
      busy = std::max(busy, this->world.now) + cost->decision_time +
             cost->time_per_worker *
                 static_cast<std::int64_t>(effect.workers.size());
      time = busy - this->world.now;
    }
    this->world.PostAfter(this->node.index, time, std::move(given));
  }

  void operator()(const AnswerSubmissionCaller& effect) const {
    this->world.answers[effect.answer.call] = effect.answer;
  }

  void operator()(const SendToPeer& effect) const {
    if (IsForOneRun(effect.message) && effect.incarnation == 0) {
      this->world.violations.push_back(
          std::string("a message names no run of its receiver: ") +
          NameOf(effect.message));
    }
    if (const auto* call = std::get_if<SubmissionCall>(&effect.message)) {
      ++this->world.calls_sent[{this->node.index, call->id}];
    }
    if (!this->node.links.contains(effect.peer)) {
      this->world.PostAfter(
          this->node.index, kCallTime,
          PeerMessageNotSent{effect.peer, effect.message, effect.incarnation});
      return;
    }
    ++this->world.messages[{this->node.index, effect.message.index()}];
    if (this->world.silent_links.contains({this->node.index, effect.peer})) {
      return;
    }
    for (const auto& peer : this->world.nodes) {
      const bool is_cut = this->world.cut_links.contains(
          std::minmax(this->node.index, peer->index));
      if (peer->state.settings.self.node == effect.peer && peer->is_up &&
          !is_cut) {
        this->world.PostAfter(peer->index, kCallTime,
                              PeerReceived{this->node.state.settings.self,
                                           effect.message, effect.incarnation});
      }
    }
  }

  void operator()(const ConnectPeer& effect) const {
    const auto& nodes = this->world.nodes;
    const bool is_up =
        std::any_of(nodes.begin(), nodes.end(), [&effect](const auto& peer) {
          return peer->is_up && peer->state.settings.self.node == effect.peer;
        });
    const bool refuses =
        std::any_of(nodes.begin(), nodes.end(), [&effect](const auto& peer) {
          return peer->refuses && peer->state.settings.self.node == effect.peer;
        });
    if (refuses) {
      this->world.PostAfter(this->node.index, kCallTime,
                            PeerRefused{effect.peer});
    }
    if (!is_up || this->node.links.contains(effect.peer)) {
      return;
    }
    StoreWorld* target = &this->world;
    Node* owner = &this->node;
    target->ScheduleAction(kCallTime, [target, owner, peer = effect.peer] {
      if (owner->is_up && owner->links.insert(peer).second) {
        target->Post(owner->index, PeerLinkChanged{peer, true});
      }
    });
  }

  void operator()(const ReopenLink& effect) const {
    ++this->world.reopened_links;
    this->world.silent_links.erase({this->node.index, effect.peer});
    if (this->node.links.erase(effect.peer) == 0) {
      return;
    }
    this->world.PostAfter(this->node.index, kCallTime,
                          PeerLinkChanged{effect.peer, false});
    StoreWorld* target = &this->world;
    Node* owner = &this->node;
    target->ScheduleAction(kReopenTime, [target, owner, peer = effect.peer] {
      EffectHandler{*target, *owner}(ConnectPeer{peer, ""});
    });
  }

  template <typename Other>
  void operator()(const Other& /*effect*/) const {}
};

StoreWorld::StoreWorld(int count, const std::vector<std::string>& worker_names,
                       RelayMode relays)
    : StoreWorld(std::vector<Capacity>(static_cast<std::size_t>(count)),
                 worker_names, relays) {}

StoreWorld::StoreWorld(const std::vector<Capacity>& capacities,
                       const std::vector<std::string>& worker_names,
                       RelayMode relays) {
  for (const std::string& name : worker_names) {
    this->AddWorker(name);
  }
  const bool with_relays = relays == RelayMode::kBoth
                               ? GENERATE(false, true)
                               : relays == RelayMode::kOn;
  const int count = static_cast<int>(capacities.size());
  for (int i = 0; i < count; ++i) {
    Settings settings = MakeSettings(i, with_relays);
    settings.capacity = capacities[static_cast<std::size_t>(i)];
    this->nodes.push_back(std::make_unique<Node>(i, settings));
  }
  for (int i = 0; i < count; ++i) {
    this->PostAfter(i, milliseconds(i), Started{});
  }
  this->Run(kSettleTime);
}

StoreWorld::~StoreWorld() = default;

CallId StoreWorld::Submit(int node, const std::string& id,
                          std::vector<StepSpec> steps,
                          const std::string& prefix) {
  SubmissionCallArrived call;
  call.call = CallId{++this->last_call};
  call.operation = SubmissionOperation::kSubmit;
  call.authority = "cluster";
  call.path = prefix + id;
  call.time_left = seconds(3);
  call.api_key = this->api_key;
  call.spec.reset(new SubmissionSpec);
  call.spec->command = "run";
  call.spec->steps = steps;
  this->submitted[SubmissionId{id}] = std::move(steps);
  const CallId number = call.call;
  this->Post(node, std::move(call));
  return number;
}

CallId StoreWorld::SendCall(int node, SubmissionOperation operation,
                            const std::string& id) {
  SubmissionCallArrived call;
  call.call = CallId{++this->last_call};
  call.operation = operation;
  call.authority = "cluster";
  call.path = "/plans/" + id;
  call.time_left = seconds(3);
  call.api_key = this->api_key;
  const CallId number = call.call;
  if (operation == SubmissionOperation::kCancel) {
    this->cancelled.insert(SubmissionId{id});
  }
  this->Post(node, std::move(call));
  return number;
}

void StoreWorld::PublishWorkspaces(const WorkspaceTable& table) {
  this->workspaces = table;
  ++this->tables_version;
  TablesRead read;
  read.ok = true;
  read.is_newest = true;
  read.sent_at = this->now;
  read.tables = this->Tables();
  for (const auto& node : this->nodes) {
    if (node->is_up && this->ReachesStore(node->index)) {
      this->PostAfter(node->index, kCallTime, read);
    }
  }
}

void StoreWorld::LearnRunTimes() {
  for (const auto& node : this->nodes) {
    node->state.settings.store.learn_run_times = true;
  }
}

QueueTables StoreWorld::Tables() const {
  QueueTables tables = MakeTables();
  tables.version = TablesVersion{this->tables_version};
  tables.workspaces = this->workspaces;
  return tables;
}

void StoreWorld::Inject(int node, EventBody body) {
  this->Post(node, std::move(body));
}

std::optional<SubmissionAnswer> StoreWorld::AnswerTo(CallId call) const {
  const auto answer = this->answers.find(call);
  return answer == this->answers.end()
             ? std::nullopt
             : std::optional<SubmissionAnswer>(answer->second);
}

std::optional<SubmissionState> StoreWorld::StatusOf(int node,
                                                    const std::string& id) {
  const CallId call = this->SendCall(node, SubmissionOperation::kStatus, id);
  this->Run(seconds(1));
  const auto answer = this->AnswerTo(call);
  if (!answer || answer->kind != ErrorKind::kNone) {
    return std::nullopt;
  }
  return answer->state;
}

void StoreWorld::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  while (this->now < end) {
    this->now += kTick;
    this->AdvanceWorkers();
    while (!this->pending.empty() && this->pending.begin()->at <= this->now) {
      const auto action = this->pending.begin()->action;
      this->pending.erase(this->pending.begin());
      action();
    }
  }
}

void StoreWorld::Kill(int node) {
  Node& killed = *this->nodes.at(static_cast<std::size_t>(node));
  killed.is_up = false;
  const NodeName name = killed.state.settings.self.node;
  for (const auto& other : this->nodes) {
    if (other->links.erase(name) > 0) {
      this->PostAfter(other->index, kCallTime, PeerLinkChanged{name, false});
    }
  }
}

void StoreWorld::KillProcess(int node) {
  this->nodes.at(static_cast<std::size_t>(node))->refuses = true;
  this->Kill(node);
}

void StoreWorld::Restart(int node) {
  constexpr std::uint64_t kNextRun = 100;
  std::unique_ptr<Node>& place = this->nodes.at(static_cast<std::size_t>(node));
  Settings settings = place->state.settings;
  settings.self.incarnation += kNextRun;
  this->retired_nodes.push_back(std::move(place));
  place = std::make_unique<Node>(node, settings);
  this->Post(node, Started{});
}

void StoreWorld::Stop(int node) { this->Post(node, StopRequested{}); }

void StoreWorld::CutLink(int node, int other) {
  this->cut_links.insert(std::minmax(node, other));
}

void StoreWorld::HealLink(int node, int other) {
  this->cut_links.erase(std::minmax(node, other));
}

void StoreWorld::SilenceLink(int node, int other) {
  this->silent_links.insert({node, this->StateOf(other).settings.self.node});
}

void StoreWorld::CompleteLateJoin(int node) {
  const Settings& settings = this->nodes.at(node)->state.settings;
  this->leader_member =
      ToString(GroupMember{settings.self, settings.peer_address});
  this->members[this->leader_member] =
      this->now + settings.store.member_time_to_live;
  ++this->generation;
}

void StoreWorld::MoveLeadership(int node) {
  const Settings& settings = this->nodes.at(node)->state.settings;
  this->next_member =
      ToString(GroupMember{settings.self, settings.peer_address});
  ++this->generation;
}

int StoreWorld::Leader() const {
  for (const auto& node : this->nodes) {
    const LeaderPhase phase = node->state.submissions.leadership.phase;
    if (node->is_up && phase == LeaderPhase::kLeading) {
      return node->index;
    }
  }
  return -1;
}

const State& StoreWorld::StateOf(int node) const {
  return this->nodes.at(static_cast<std::size_t>(node))->state;
}

int StoreWorld::Starts(const std::string& id, std::uint32_t step,
                       std::uint32_t index) const {
  const auto count = this->starts.find({SubmissionId{id}, step, index});
  return count == this->starts.end() ? 0 : count->second;
}

int StoreWorld::MessagesBy(int node, std::size_t kind) const {
  const auto count = this->messages.find({node, kind});
  return count == this->messages.end() ? 0 : count->second;
}

void StoreWorld::ScheduleAction(Duration delay, std::function<void()> action) {
  this->pending.insert(
      {this->now + delay, ++this->last_pending, std::move(action)});
}

void StoreWorld::Handle(Node& node, EventBody body, const LoopLoad& load) {
  for (const Effect& effect :
       Reduce(node.state, Event{this->now, std::move(body), load})) {
    std::visit(EffectHandler{*this, node}, effect);
  }
}

void StoreWorld::PostAfter(int node, Duration delay, EventBody body) {
  const auto slow = this->delivery_delay.find(node);
  delay += slow == this->delivery_delay.end() ? Duration::zero() : slow->second;
  this->ScheduleAction(
      delay, [this, node, body = std::move(body)] { this->Post(node, body); });
}

void StoreWorld::PostToAll(FleetRead read) {
  for (const auto& node : this->nodes) {
    read.epoch = node->state.submissions.leadership.epoch;
    this->PostAfter(node->index, kCallTime, read);
  }
}

StepSpec Tasks(std::uint32_t count) {
  StepSpec step;
  step.count = count;
  step.demand = kDemand;
  step.expected_run_time = milliseconds(200);
  return step;
}

}  // namespace basilspread::test
