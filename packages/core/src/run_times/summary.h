#ifndef BASILSPREAD_CORE_RUN_TIMES_SUMMARY_H_
#define BASILSPREAD_CORE_RUN_TIMES_SUMMARY_H_

#include <optional>

#include "basilspread/core/submission_record.h"
#include "internal/context.h"

/// The learned run times in the work log, for the next leader.
namespace basilspread::internal::run_times {

/// The summary to add to an append that is made anyway; unset while the last
/// one is recent enough.
std::optional<RunTimesRecord> TakeSummary(Context& context);

/// Takes over the run times of an earlier leader.
void Load(Context& context, const RunTimesRecord& record);

}  // namespace basilspread::internal::run_times

#endif  // BASILSPREAD_CORE_RUN_TIMES_SUMMARY_H_
