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

template <typename Tag>
using TreeHook = boost::intrusive::set_base_hook<
    boost::intrusive::tag<Tag>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Membership of the queue that a request waits in.
using QueueHook = TreeHook<struct QueueTag>;
/// Membership of the set of everything that ends at its deadline.
using ExpiryHook = TreeHook<struct ExpiryTag>;

/// A request that this process handles as owner of a shard.
struct Request
    : QueueHook,
      ExpiryHook,
      boost::intrusive_ref_counter<Request, boost::thread_unsafe_counter> {
  RequestKey key;
  /// The origin's number for this try to pass the request on.
  std::uint32_t forward_attempt = 0;
  ShardId shard;
  RouteName route;
  TeamName team;
  ServiceClass service_class = ServiceClass::kShort;
  bool idempotent = false;
  PayloadPtr payload;

  TimePoint arrived;
  TimePoint deadline;
  /// Place in the queue: the lowest is taken first.
  TimePoint rank;
  TimePoint queued_at;
  /// Wait that was expected when it was queued, before correction.
  Duration expected_wait{};
  /// Run time that was expected when it was queued.
  Duration expected_run_time{};

  Attempt attempt;
  /// The minion that runs it; empty while it waits.
  HostName host;
  SlotKind slot = SlotKind::kOpen;
  TimePoint sent_at;
  /// Minions that earlier attempts failed on.
  std::vector<HostName> attempted_hosts;
  /// Set once an attempt was lost after bytes may have left.
  bool may_have_run = false;
};

using RequestPtr = boost::intrusive_ptr<Request>;

/// A request of a caller of this process that another owner handles.
/// Its own try to handle it, as owner, is a Request under the same call.
struct RemoteRequest
    : ExpiryHook,
      boost::intrusive_ref_counter<RemoteRequest,
                                   boost::thread_unsafe_counter> {
  CallId call;
  /// Whom it was passed to; empty while no owner is known.
  NodeName owner;
  ShardId shard;
  RouteName route;
  TeamName team;
  std::string idempotency_key;
  bool idempotent = false;
  PayloadPtr payload;
  TimePoint arrived;
  TimePoint deadline;
  /// Number of the last try to pass it on, from 1.
  std::uint32_t forward_attempt = 0;
  /// Set once an owner was lost that may have run it.
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
