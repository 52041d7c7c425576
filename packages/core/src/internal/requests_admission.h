#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_ADMISSION_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_ADMISSION_H_

#include "basilspread/core/request.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Queues a request in a shard that this process owns, or refuses it at once.
/// The caller's fields of `request` must be set.
void Admit(Context& context, const Route& route, const RequestPtr& request);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_ADMISSION_H_
