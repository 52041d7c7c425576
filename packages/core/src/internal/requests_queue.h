#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_

#include "basilspread/core/request.h"
#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

ClassQueue& QueueOf(MinionShard& shard, ServiceClass service_class);

/// Inserts a request into the shard's queue for its class, by its rank.
void Enqueue(Context& context, const Route& route, MinionShard& shard,
             Request& request);

/// Removes a request from its queue.
void Dequeue(Context& context, MinionShard& shard, Request& request);

/// Predicts how long a request of the class would wait for a slot now, from the
/// work queued ahead of it and the measured waits of earlier requests.
Duration ExpectedWait(const Context& context, const MinionShard& shard,
                      ServiceClass service_class);

/// Updates the averages with the wait of a request that starts now.
void RecordWait(Context& context, ClassQueue& queue, const Request& request);

/// Ends queued requests whose deadline has passed.
void ExpireQueued(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_QUEUE_H_
