#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_

#include <string>

#include "basilspread/core/record.h"
#include "basilspread/core/request_keys.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"
#include "internal/requests_answer.h"

namespace basilspread::internal::requests {

/// The shard of the pool whose owner handles the key. It depends on the key and
/// the pool's shard count only, not on hosts, so all processes agree on it.
ShardId KeyShard(const Pool& pool, const std::string& key);

/// Runs a request once under its key, or lets the caller wait for the run in
/// progress. This process must own the key's shard.
void SubmitUnderKey(Context& context, const Route& route,
                    const IdempotencyKey& name, const IdempotencyWaiter& waiter,
                    const PayloadPtr& request);

/// Whether the call is a run under a key, submitted by this process to itself.
bool IsKeyRun(const Context& context, CallId call);
void OnKeyRunEnded(Context& context, CallId call, const Outcome& outcome);

/// Applies a record read from the log. An intent of this process starts the
/// run; one of another process marks the key as kMayHaveRun.
void ApplyKeyIntent(Context& context, const KeyIntentRecord& record);
void ApplyKeyOutcome(Context& context, const KeyOutcomeRecord& record);

/// Drops the keys of a lost shard whose intents can no longer take effect, and
/// answers their waiters with kNotOwner.
void FailPendingIntents(Context& context, const ShardId& shard);

/// Whether any caller waits for a run under a key.
bool HasKeyWaiters(const Context& context);

/// Answers waiters past their deadline and evicts old entries.
void ExpireKeys(Context& context);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_KEYS_H_
