#ifndef BASILSPREAD_CORE_QUOTA_UNCERTAIN_USAGE_H_
#define BASILSPREAD_CORE_QUOTA_UNCERTAIN_USAGE_H_

#include "basilspread/core/resources.h"
#include "internal/context.h"

/// What a workspace may use beside the reservations that the leader knows.
namespace basilspread::internal::uncertain_usage {

/// Upper bound of what runs of the workspace reserve that this leader has not
/// accounted for: on workers that have not answered it, and runs that they list
/// whose workspace is not known.
Resources Of(Context& context, const WorkspaceName& name);

}  // namespace basilspread::internal::uncertain_usage

#endif  // BASILSPREAD_CORE_QUOTA_UNCERTAIN_USAGE_H_
