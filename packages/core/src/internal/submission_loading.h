#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_

#include "basilspread/core/submission_record.h"
#include "internal/context.h"

/// Restores the submissions of earlier leaders from the work log.
namespace basilspread::internal::submission_loading {

/// Applies a record of the work log. Records of one submission may come in any
/// order.
void Load(Context& context, const WorkRecord& record);
/// Handles a record that cannot be read: what it stands for counts as unknown.
void LoadUnreadable(Context& context, const RecordSubject& subject);
/// Resumes the unfinished submissions once all records have been read.
void FinishLoading(Context& context);

}  // namespace basilspread::internal::submission_loading

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_
