#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_

#include "basilspread/core/request.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Adds a new request's share to its route's retry budget.
void AddRetryTokens(Context& context, const Route& route);

/// Whether the request may be tried again on another minion of its shard,
/// where it surely did not run or is idempotent.
bool MayRetry(const Context& context, const Route& route,
              const Request& request);

/// Takes one retry out of the budget.
void TakeRetryToken(Context& context, const Route& route);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_
