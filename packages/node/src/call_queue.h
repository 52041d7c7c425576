#ifndef BASILSPREAD_NODE_CALL_QUEUE_H_
#define BASILSPREAD_NODE_CALL_QUEUE_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstddef>
#include <optional>
#include <vector>

#include "basilspread/core/time.h"
#include "http_call.h"

namespace basilspread::node {

/// FIFO queue of calls, with a second index by deadline. Each operation takes
/// at most logarithmic time per affected call.
class CallQueue {
 public:
  CallQueue() = default;
  ~CallQueue();
  CallQueue(const CallQueue&) = delete;
  CallQueue& operator=(const CallQueue&) = delete;

  void Add(HttpCall call);
  /// The queue must not be empty.
  const HttpCall& Front() const { return this->calls.front().call; }
  HttpCall TakeFront();
  /// Removes and returns all calls but the front one.
  std::vector<HttpCall> TakeWaiting();
  /// Removes and returns the calls whose deadline has passed, earliest deadline
  /// first. The front call stays in the queue if it is in progress.
  std::vector<HttpCall> TakeOverdue(TimePoint now, bool front_in_progress);

  bool IsEmpty() const { return this->calls.empty(); }
  std::size_t Count() const { return this->calls.size(); }
  /// Whether calls wait behind the front one.
  bool HasWaiting() const {
    return !this->calls.empty() && &this->calls.front() != &this->calls.back();
  }
  std::optional<TimePoint> EarliestDeadline() const;

 private:
  struct Node {
    HttpCall call;
    boost::intrusive::list_member_hook<> in_order;
    boost::intrusive::set_member_hook<> by_deadline;
  };
  struct IsEarlier {
    bool operator()(const Node& a, const Node& b) const {
      return a.call.deadline < b.call.deadline;
    }
  };

  HttpCall Take(Node& node);

  boost::intrusive::list<
      Node, boost::intrusive::member_hook<
                Node, boost::intrusive::list_member_hook<>, &Node::in_order>>
      calls;
  boost::intrusive::multiset<
      Node,
      boost::intrusive::member_hook<Node, boost::intrusive::set_member_hook<>,
                                    &Node::by_deadline>,
      boost::intrusive::compare<IsEarlier>>
      deadlines;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_CALL_QUEUE_H_
