#ifndef BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_
#define BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_

#include "basilspread/core/store_call.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// The leader's records of what must last.
namespace basilspread::internal::work_log {

/// Keeps every earlier leader from appending.
void RaiseEpoch(Context& context);
void OnListed(Context& context, const WorkListed& event);
void OnLoadTimer(Context& context);

/// Queues the record of a new submission.
void Accept(Context& context, const Submission& submission);
/// Queues the record of what has changed in a submission.
void Change(Context& context, const SubmissionId& id);
/// Queues the end of a submission's records.
void Forget(Context& context, const SubmissionId& id);
/// Queues the record of a worker, or that it is gone.
void RecordWorker(Context& context, const HostName& worker);
/// Appends what is queued, unless an append is under way.
void Pump(Context& context);

void OnAppended(Context& context, const WorkAppended& event);
void OnTimer(Context& context);

/// Whether a new record can be expected to be stored soon.
bool IsAvailable(const Context& context);
/// Whether records have waited for the store for at least this long.
bool IsWaiting(const Context& context, Duration time);
/// Tells the callers whose records were never sent why nothing was done.
void DeclineQueued(Context& context, ErrorKind kind);

}  // namespace basilspread::internal::work_log

#endif  // BASILSPREAD_CORE_INTERNAL_WORK_LOG_H_
