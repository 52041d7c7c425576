#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_

#include <string>

#include "basilspread/core/record.h"
#include "basilspread/core/request_keys.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"
#include "internal/requests_answer.h"

namespace basilspread::internal::requests {

/// The shard of the pool whose owner decides about the key. Hosts play no
/// part in it: every process finds the same shard.
ShardId KeyShard(const Pool& pool, const std::string& key);

/// Runs a request once under its key, or connects the caller to the run
/// that stands. This process owns the key's shard.
void SubmitUnderKey(Context& context, const Route& route,
                    const IdempotencyKey& name, const IdempotencyWaiter& waiter,
                    const PayloadPtr& request);

/// Whether the call is a run under a key, which this process made itself.
bool IsKeyRun(const Context& context, CallId call);
void OnKeyRunEnded(Context& context, CallId call, const Outcome& outcome);

void ApplyKeyIntent(Context& context, const KeyIntentRecord& record);
void ApplyKeyOutcome(Context& context, const KeyOutcomeRecord& record);

/// Answers those who wait for intents that can't take effect any more.
void FailPendingIntents(Context& context, const ShardId& shard);

/// Whether a caller waits for the run under a key.
bool HasKeyWaiters(const Context& context);

/// Tells waiters that their deadline passed, and forgets old keys.
void ExpireKeys(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_
