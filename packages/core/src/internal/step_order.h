#ifndef BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Order of the queue. When there is more work than capacity, submissions that
/// can still meet their targets go before those that cannot.
namespace basilspread::internal::step_order {

/// Latest times at which the steps that are left may start.
struct StartBounds {
  /// To meet the latency target.
  TimePoint on_time;
  /// For the result to be of any use to the caller.
  TimePoint useful;
};

StartBounds BoundsOf(const Context& context, const Submission& submission);

/// The submission's current rank in the queue.
QueueRank RankOf(const Context& context, const Submission& submission);

/// Recomputes the rank of submissions whose latest start has passed.
void RefreshQueue(Context& context);

void Enqueue(Context& context, Submission& submission);
void Dequeue(Context& context, Submission& submission);

}  // namespace basilspread::internal::step_order

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_
