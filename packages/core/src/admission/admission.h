#ifndef BASILSPREAD_CORE_ADMISSION_ADMISSION_H_
#define BASILSPREAD_CORE_ADMISSION_ADMISSION_H_

#include <optional>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Rejects submissions which the queue ahead of them makes worthless, before
/// anything is stored.
namespace basilspread::internal::admission {

/// Whether the settings or the tables in force ask for admission by the queue.
bool IsEnabled(const Context& context);

/// Returns the time after which the caller may retry; unset if the submission,
/// which is not queued yet, is admitted.
std::optional<Duration> RejectFor(Context& context, Submission& submission);

/// Updates the estimates that need no event, and reports rejections.
void OnSecond(Context& context);

}  // namespace basilspread::internal::admission

#endif  // BASILSPREAD_CORE_ADMISSION_ADMISSION_H_
