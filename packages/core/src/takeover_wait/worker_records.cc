#include "takeover_wait/worker_records.h"

#include <utility>

#include "internal/fleet.h"
#include "internal/step_offers.h"
#include "internal/work_log.h"

namespace basilspread::internal::takeover_wait {
namespace {

/// Whether the submission was accepted when nothing was started on the worker
/// any more.
bool IsUnusedSince(const FleetWorker& worker, Epoch accepted) {
  return worker.unused_since.value > 0 && accepted.value > 0 &&
         accepted >= worker.unused_since;
}

/// Whether the store's entry is of the life that may run tasks. Its pool,
/// labels and capacity do not change during that life.
bool IsDescribed(const FleetWorker& worker) {
  return !worker.unlisted && worker.entry.incarnation == worker.incarnation;
}

}  // namespace

WorkRecord MakeWorkerRecord(Context& context, const HostName& name) {
  FleetState& fleet = context.state.submissions.fleet;
  const auto found = fleet.workers.find(name);
  if (found == fleet.workers.end()) {
    return WorkerGoneRecord{name};
  }
  FleetWorker& worker = found->second;
  WorkerRecord open{name, worker.entry.address, worker.incarnation};
  WorkerRecord closed = open;
  closed.is_closed = true;
  // Until this leader has an answer, it may not know all that runs there.
  if (fleet::IsClosed(worker) &&
      (worker.is_reconciled || worker.has_known_runs)) {
    for (const auto& [run, reservation] : worker.runs) {
      closed.runs.push_back(run);
    }
    worker.is_recorded_closed = FitsLog(closed);
  } else {
    worker.is_recorded_closed = false;
  }
  open.unused_since = worker.unused_since;
  worker.is_recorded_unused =
      !worker.is_recorded_closed && worker.unused_since.value > 0;
  return worker.is_recorded_closed ? closed : open;
}

void ApplyRecord(const WorkerRecord& record, FleetWorker& worker) {
  worker.unused_since = record.unused_since;
  worker.is_recorded_unused = record.unused_since.value > 0;
}

void RecordUnused(Context& context) {
  FleetState& fleet = context.state.submissions.fleet;
  for (const HostName& name : fleet.unanswered) {
    FleetWorker& worker = fleet.workers.at(name);
    if (worker.unused_since.value == 0) {
      worker.unused_since = context.state.submissions.leadership.epoch;
    }
    if (!worker.is_recorded_unused) {
      work_log::RecordWorker(context, name);
    }
  }
}

void OnAnswered(Context& context, FleetWorker& worker) {
  worker.unused_since = {};
  if (std::exchange(worker.is_recorded_unused, false)) {
    worker.is_recorded = false;
    work_log::RecordWorker(context, worker.entry.name);
  }
}

bool MayHold(const FleetWorker& worker, const Submission& submission,
             std::uint32_t step) {
  if (IsUnusedSince(worker, submission.accepted_epoch)) {
    return false;
  }
  const StepSpec& spec = submission.spec->steps[step];
  return !IsDescribed(worker) ||
         (step_offers::IsEligible(submission, spec, worker) &&
          Fits(spec.demand, worker.entry.capacity));
}

}  // namespace basilspread::internal::takeover_wait
