#ifndef BASILSPREAD_CORE_REQUESTS_H_
#define BASILSPREAD_CORE_REQUESTS_H_

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

using QueueHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A request that this process, as owner of a shard, queues or runs.
struct Request
    : QueueHook,
      boost::intrusive_ref_counter<Request, boost::thread_unsafe_counter> {
  RequestKey key;
  ShardId shard;
  RouteName route;
  TeamName team;
  std::string idempotency_key;
  TimePoint arrived;
  TimePoint deadline;
  Attempt attempt;
  /// The minion that runs it; empty while it waits.
  HostName host;
  PayloadPtr payload;
};

using RequestPtr = boost::intrusive_ptr<Request>;
using RequestQueue =
    boost::intrusive::list<Request,
                           boost::intrusive::constant_time_size<false>>;

/// A request of a caller of this process that another owner handles.
struct RemoteRequest {
  CallId call;
  NodeName owner;
  RouteName route;
  TimePoint deadline;
};

/// A minion of a shard that this process owns.
struct Minion {
  HostName name;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t busy = 0;
  bool leaving = false;
};

/// The minions and the queue of one owned shard.
struct MinionShard {
  std::map<HostName, Minion> minions;
  RequestQueue queue;
  std::uint32_t queued = 0;
};

struct RequestsState {
  std::map<ShardId, MinionShard> shards;
  std::map<RequestKey, RequestPtr> requests;
  std::map<CallId, RemoteRequest> remote;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REQUESTS_H_
