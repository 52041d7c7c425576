#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_

#include "basilspread/core/request.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Adds a new request's share of a token to the retry budget of its route.
void AddRetryTokens(Context& context, const Route& route);

/// Whether the request may be retried on another minion of its shard, by its
/// deadline, its number of attempts and the budget. The caller has to check
/// that the request has not run or is idempotent.
bool MayRetry(const Context& context, const Route& route,
              const Request& request);

/// Takes one token from the retry budget of the route.
void TakeRetryToken(Context& context, const Route& route);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_RETRIES_H_
