#ifndef BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_
#define BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_

#include "basilspread/core/store_call.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// The leader's writer and reader of the work log, its durable record of
/// submissions and workers.
namespace basilspread::internal::work_log {

/// Raises the log's epoch, which keeps every earlier leader from appending.
void RaiseEpoch(Context& context);
/// Starts to read the list of records from its begin.
void RequestList(Context& context);
void OnListed(Context& context, const WorkListed& event);
void OnLoadTimer(Context& context);

/// Queues the record of a new submission.
void Accept(Context& context, const Submission& submission);
/// Queues the record of a submission's current progress.
void Change(Context& context, const SubmissionId& id);
/// Queues the record that removes a submission from the log.
void Forget(Context& context, const SubmissionId& id);
/// Queues the record of a worker, or of its removal.
void RecordWorker(Context& context, const HostName& worker);
/// Queues the record of this leader, to show that its epoch is in force.
void RecordLeader(Context& context);
/// Queues the record of an earlier leader, with the wait for its leases.
void RecordPredecessor(Context& context, const NodeName& node);
/// Queues the removal of the record of an earlier leader.
void ForgetLeader(Context& context, const NodeName& node);
/// Appends the queued records, unless an append is in flight.
void Pump(Context& context);

void OnAppended(Context& context, const WorkAppended& event);
void OnTimer(Context& context);

/// Whether the store is expected to accept a new record without long delay.
bool IsAvailable(const Context& context);
/// Whether an append has been in flight, or appends have been failing, for at
/// least `time`.
bool IsWaiting(const Context& context, Duration time);
/// Rejects with `kind` the new submissions whose records were never sent.
void DeclineQueued(Context& context, ErrorKind kind);

}  // namespace basilspread::internal::work_log

#endif  // BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_
