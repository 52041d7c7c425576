#ifndef BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_

#include "basilspread/core/event.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which submission goes first. Answers the load of more work than room: what
/// can still meet its target goes before what cannot.
namespace basilspread::internal::step_order {

/// Where the submission stands in the queue now.
QueueRank RankOf(const Context& context, const Submission& submission);

/// How long a task of the step will likely run, by what tasks of its kind
/// took against what their callers expected.
Duration LikelyRunTime(const Context& context, const Submission& submission,
                       std::uint32_t step);
/// Learns from a run that began anew and succeeded.
void LearnRunTime(Context& context, const Submission& submission,
                  std::uint32_t step, Duration run_time);

/// Ranks anew those whose time to start has passed since they were queued.
void RefreshQueue(Context& context);

/// Counts the suspension into the ages.
void OnResumed(Context& context, const Resumed& event);

void Enqueue(Context& context, Submission& submission);
void Dequeue(Context& context, Submission& submission);

}  // namespace basilspread::internal::step_order

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_ORDER_H_
