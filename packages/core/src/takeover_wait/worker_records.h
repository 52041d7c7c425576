#ifndef BASILSPREAD_CORE_TAKEOVER_WAIT_WORKER_RECORDS_H_
#define BASILSPREAD_CORE_TAKEOVER_WAIT_WORKER_RECORDS_H_

#include <cstdint>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Records of workers, from which the next leader tells what may run on those
/// that do not answer it.
namespace basilspread::internal::takeover_wait {

/// The record of the worker as it is now, or of its removal.
WorkRecord MakeWorkerRecord(Context& context, const HostName& name);
/// Applies what earlier leaders stored of the worker.
void ApplyRecord(const WorkerRecord& record, FleetWorker& worker);

/// Has the work log record that this leader and later ones have started nothing
/// on the workers that do not answer. Called before it starts anything.
void RecordUnused(Context& context);
/// The worker's runs are known, so that tasks may be started there as soon as
/// its record does not state that it is unused.
void OnAnswered(Context& context, FleetWorker& worker);

/// Whether an earlier leader may have started tasks of the step on the worker,
/// which has not listed its runs to this one.
bool MayHold(const FleetWorker& worker, const Submission& submission,
             std::uint32_t step);

}  // namespace basilspread::internal::takeover_wait

#endif  // BASILSPREAD_CORE_TAKEOVER_WAIT_WORKER_RECORDS_H_
