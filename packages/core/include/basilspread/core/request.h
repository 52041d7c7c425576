#ifndef BASILSPREAD_CORE_REQUEST_H_
#define BASILSPREAD_CORE_REQUEST_H_

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/minion.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/tables.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Hook that unlinks an element from its tree when the element is destroyed.
template <typename Tag>
using TreeHook = boost::intrusive::set_base_hook<
    boost::intrusive::tag<Tag>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Links a waiting request into its queue.
using QueueHook = TreeHook<struct QueueTag>;
/// Links a request into the set ordered by deadline.
using ExpiryHook = TreeHook<struct ExpiryTag>;

/// A request that this process handles as the owner of a shard.
struct Request
    : QueueHook,
      ExpiryHook,
      boost::intrusive_ref_counter<Request, boost::thread_unsafe_counter> {
  RequestKey key;
  /// The origin's number of this attempt to forward the request.
  std::uint32_t forward_attempt = 0;
  ShardId shard;
  RouteName route;
  TeamName team;
  ServiceClass service_class = ServiceClass::kShort;
  bool idempotent = false;
  PayloadPtr payload;

  TimePoint arrived;
  TimePoint deadline;
  /// Position in the queue; the lowest is dispatched first.
  TimePoint rank;
  TimePoint queued_at;
  /// Wait that was predicted on queueing, before the correction by measured
  /// waits.
  Duration expected_wait{};
  /// Run time that was predicted on queueing.
  Duration expected_run_time{};

  Attempt attempt;
  /// The minion that runs the request; empty while it is queued.
  HostName host;
  SlotKind slot = SlotKind::kOpen;
  TimePoint sent_at;
  /// Minions chosen for earlier attempts; they get no further attempt.
  std::vector<HostName> attempted_hosts;
  /// Set once an attempt may have run, since it was neither refused by the
  /// minion nor known to be unsent.
  bool may_have_run = false;
};

using RequestPtr = boost::intrusive_ptr<Request>;

/// A request of a caller of this process, until an owner other than this
/// process has answered it. When this process is the owner itself, it handles
/// the call as a Request under the same call identifier.
struct RemoteRequest
    : ExpiryHook,
      boost::intrusive_ref_counter<RemoteRequest,
                                   boost::thread_unsafe_counter> {
  CallId call;
  /// The owner that it was forwarded to; empty while none is known.
  NodeName owner;
  ShardId shard;
  RouteName route;
  TeamName team;
  std::string idempotency_key;
  bool idempotent = false;
  PayloadPtr payload;
  TimePoint arrived;
  TimePoint deadline;
  /// Number of the last attempt to forward it, from 1; 0 before the first.
  std::uint32_t forward_attempt = 0;
  /// Set once contact was lost with an owner that may have run it.
  bool may_have_run = false;
};

using RemoteRequestPtr = boost::intrusive_ptr<RemoteRequest>;

struct LowerRank {
  bool operator()(const Request& left, const Request& right) const {
    return left.rank < right.rank;
  }
};

struct EarlierDeadline {
  template <typename T>
  bool operator()(const T& left, const T& right) const {
    return left.deadline < right.deadline;
  }
};

using RequestQueue =
    boost::intrusive::multiset<Request, boost::intrusive::base_hook<QueueHook>,
                               boost::intrusive::compare<LowerRank>,
                               boost::intrusive::constant_time_size<false>>;

template <typename T>
using ExpirySet =
    boost::intrusive::multiset<T, boost::intrusive::base_hook<ExpiryHook>,
                               boost::intrusive::compare<EarlierDeadline>,
                               boost::intrusive::constant_time_size<false>>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUEST_H_
