#include <algorithm>
#include <utility>
#include <variant>

#include "support/store_world_node.h"

/// Control loops of a StoreWorld's processes, which handle due timers before
/// events.
namespace basilspread::test {

void StoreWorld::Post(int index, EventBody body) {
  Node& node = *this->nodes.at(static_cast<std::size_t>(index));
  if (!node.is_up) {
    return;
  }
  if (node.is_frozen) {
    node.held_events.push_back(std::move(body));
    return;
  }
  const bool is_slow = this->event_cost.contains(index);
  if (!is_slow && node.events.empty() && node.due_timers.empty()) {
    this->Handle(node, std::move(body), this->loads[index]);
    return;
  }
  if (const auto* timer = std::get_if<TimerFired>(&body)) {
    node.due_timers.emplace(timer->kind, this->now);
  } else {
    node.events.push_back({std::move(body), this->now});
  }
  this->Schedule(node);
}

void StoreWorld::Freeze(int node) {
  this->nodes.at(static_cast<std::size_t>(node))->is_frozen = true;
}

void StoreWorld::InjectNow(int node, EventBody body) {
  Node& target = *this->nodes.at(static_cast<std::size_t>(node));
  this->Handle(target, std::move(body), this->loads[node]);
}

void StoreWorld::Thaw(int node) {
  Node& thawed = *this->nodes.at(static_cast<std::size_t>(node));
  thawed.is_frozen = false;
  for (EventBody& body : std::exchange(thawed.held_events, {})) {
    this->Post(node, std::move(body));
  }
}

void StoreWorld::Schedule(Node& node) {
  if (node.is_scheduled) {
    return;
  }
  node.is_scheduled = true;
  Node* owner = &node;
  this->ScheduleAction(std::max(node.busy_until - this->now, Duration::zero()),
                       [this, owner] {
                         owner->is_scheduled = false;
                         this->HandleNext(*owner);
                       });
}

void StoreWorld::HandleNext(Node& node) {
  if (!node.is_up || (node.events.empty() && node.due_timers.empty())) {
    return;
  }
  TimePoint oldest = this->now;
  if (!node.events.empty()) {
    oldest = std::min(oldest, node.events.front().since);
  }
  EventBody body;
  TimePoint since;
  if (!node.due_timers.empty()) {
    const auto timer = node.due_timers.extract(node.due_timers.begin());
    body = TimerFired{timer.key()};
    since = timer.mapped();
  } else {
    body = std::move(node.events.front().body);
    since = node.events.front().since;
    node.events.pop_front();
  }
  LoopLoad load;
  load.delay = this->now - std::min(oldest, since);
  load.waiting = node.events.size();
  load.busy = node.busy;
  const auto cost = this->event_cost.find(node.index);
  const Duration took =
      cost == this->event_cost.end() ? Duration::zero() : cost->second;
  node.busy += took;
  // Several events may be handled within one time step.
  node.busy_until = std::max(node.busy_until, since) + took;
  this->Handle(node, std::move(body), load);
  if (!node.events.empty() || !node.due_timers.empty()) {
    this->Schedule(node);
  }
}

std::size_t StoreWorld::QueuedEvents(int node) const {
  const Node& found = *this->nodes.at(static_cast<std::size_t>(node));
  return found.events.size() + found.due_timers.size();
}

int StoreWorld::CallsSent(int node, const std::string& id) const {
  const auto found = this->calls_sent.find({node, SubmissionId{id}});
  return found == this->calls_sent.end() ? 0 : found->second;
}

std::set<int> StoreWorld::Members() const {
  std::set<int> members;
  for (const auto& node : this->nodes) {
    const Settings& settings = node->state.settings;
    const auto member = this->members.find(
        ToString(GroupMember{settings.self, settings.peer_address}));
    if (member != this->members.end() && member->second > this->now) {
      members.insert(node->index);
    }
  }
  return members;
}

}  // namespace basilspread::test
