#ifndef BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_
#define BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Detects runs that make no progress although their worker responds.
namespace basilspread::internal::run_watch {

/// Records the progress of a run that its worker listed.
void RecordProgress(const Context& context, RunState& task,
                    const ListedRun& run);

/// Whether the run has made no progress for much longer than its speed so far
/// explains. False while a gang member waits for others to start or to finish.
bool IsStuck(const Context& context, const Submission& submission,
             const RunName& name);

}  // namespace basilspread::internal::run_watch

#endif  // BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_
