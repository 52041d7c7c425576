#ifndef BASILSPREAD_CORE_ADMISSION_QUEUE_AHEAD_H_
#define BASILSPREAD_CORE_ADMISSION_QUEUE_AHEAD_H_

#include <cstddef>
#include <optional>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Estimate of the queue ahead of a submission: the work of the waiting tasks
/// that go before it, by the rate at which its pool takes work on. It is kept
/// up to date by events, at logarithmic cost for each.
namespace basilspread::internal::queue_ahead {

/// Counts the waiting work of a queued submission at its rank.
void Update(Context& context, Submission& submission);
/// Moves work that is counted already to the submission's new rank.
void OnRanked(Context& context, Submission& submission);
/// The submission has left the queue.
void Remove(Context& context, Submission& submission);
/// Tasks of the step were sent to workers.
void OnPlaced(Context& context, const Submission& submission,
              std::uint32_t step, std::size_t tasks);
/// Recomputes the capacity of the pools, by a walk over the workers.
void UpdateCapacity(Context& context);

/// Lower bound of the time until the work that is to go before a submission of
/// this rank has been started; unset while the pool's capacity is not known.
std::optional<Duration> WaitBefore(const Context& context, const PoolName& pool,
                                   const QueueRank& rank);

void SetGauges(Context& context);

}  // namespace basilspread::internal::queue_ahead

#endif  // BASILSPREAD_CORE_ADMISSION_QUEUE_AHEAD_H_
