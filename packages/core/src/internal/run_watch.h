#ifndef BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_
#define BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Finds runs that stand still although their worker answers.
namespace basilspread::internal::run_watch {

/// Takes in how far a worker says that the run is.
void Note(const Context& context, RunState& task, const ListedRun& run);

/// Whether the run has made no progress for far longer than its speed so far
/// explains. False while it waits for members of its gang: to come, or to end.
bool IsStuck(const Context& context, const Submission& submission,
             const RunName& name);

}  // namespace basilspread::internal::run_watch

#endif  // BASILSPREAD_CORE_INTERNAL_RUN_WATCH_H_
