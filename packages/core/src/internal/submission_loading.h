#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_

#include "basilspread/core/submission_record.h"
#include "internal/context.h"

/// How a new leader learns of the submissions that earlier ones accepted.
namespace basilspread::internal::submission_loading {

/// Takes a record of the work log in. Records of one submission may come in
/// any order.
void Load(Context& context, const WorkRecord& record);
/// All records were read: what has not ended goes on.
void FinishLoading(Context& context);

}  // namespace basilspread::internal::submission_loading

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_LOADING_H_
