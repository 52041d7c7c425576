#include "call_queue.h"

#include <memory>
#include <utility>

namespace basilspread::node {

CallQueue::~CallQueue() {
  this->deadlines.clear();
  this->calls.clear_and_dispose(std::default_delete<Node>());
}

void CallQueue::Add(HttpCall call) {
  auto node = std::make_unique<Node>();
  node->call = std::move(call);
  this->deadlines.insert(*node);
  this->calls.push_back(*node.release());
}

HttpCall CallQueue::Take(Node& node) {
  const std::unique_ptr<Node> owned(&node);
  this->deadlines.erase(this->deadlines.iterator_to(node));
  this->calls.erase(this->calls.iterator_to(node));
  return std::move(owned->call);
}

HttpCall CallQueue::TakeFront() { return this->Take(this->calls.front()); }

std::vector<HttpCall> CallQueue::TakeWaiting() {
  std::vector<HttpCall> waiting;
  while (this->HasWaiting()) {
    waiting.push_back(this->Take(*std::next(this->calls.begin())));
  }
  return waiting;
}

std::vector<HttpCall> CallQueue::TakeOverdue(TimePoint now,
                                             bool front_in_progress) {
  const Node* const in_progress =
      front_in_progress && !this->IsEmpty() ? &this->calls.front() : nullptr;
  std::vector<HttpCall> overdue;
  auto next = this->deadlines.begin();
  while (next != this->deadlines.end() && next->call.deadline <= now) {
    Node& node = *next++;
    if (&node != in_progress) {
      overdue.push_back(this->Take(node));
    }
  }
  return overdue;
}

std::optional<TimePoint> CallQueue::EarliestDeadline() const {
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  return this->deadlines.begin()->call.deadline;
}

}  // namespace basilspread::node
