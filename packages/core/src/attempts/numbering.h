#ifndef BASILSPREAD_CORE_ATTEMPTS_NUMBERING_H_
#define BASILSPREAD_CORE_ATTEMPTS_NUMBERING_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Numbers the runs of a task, so that no number is given twice.
namespace basilspread::internal::attempts {

/// Number of the run that follows the highest one that this leader knows of.
Attempt NextRun(const Context& context, const Submission& submission,
                Attempt highest);

/// Whether an earlier leader gave the number, so that any member of a gang may
/// have had its run.
bool IsOfEarlierLeader(const Context& context, const Submission& submission,
                       Attempt run);

/// Records that a run of this number exists or has existed.
void RecordNumber(RunState& task, Attempt run);

}  // namespace basilspread::internal::attempts

#endif  // BASILSPREAD_CORE_ATTEMPTS_NUMBERING_H_
