#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_

#include "basilspread/core/request.h"
#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

ClassQueue& QueueOf(MinionShard& shard, ServiceClass service_class);

/// Puts a request in its place of the shard's queue for its class.
void Enqueue(Context& context, const Route& route, MinionShard& shard,
             Request& request);

/// Takes a waiting request out of its queue.
void Dequeue(Context& context, MinionShard& shard, Request& request);

/// How long a request of the class would wait for a slot now, by the work
/// ahead of it and by how long earlier ones were seen to wait.
Duration ExpectedWait(const Context& context, const MinionShard& shard,
                      ServiceClass service_class);

/// Compares a request's wait, over now, with the one that was expected.
void RecordWait(Context& context, ClassQueue& queue, const Request& request);

/// Ends the queued requests whose deadline has passed.
void ExpireQueued(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_
