#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_

#include <string>

#include "basilspread/core/error.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/request.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Result of a request as reported to its caller.
struct Outcome {
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr payload;
};

/// Returns the outcome to report. If an earlier attempt may have run, an
/// outcome that says "not run" holds for the last attempt only and becomes
/// kOutcomeUnknown.
Outcome AccountForEarlierAttempts(Outcome outcome, bool may_have_run);

/// Answers the origin of a request: a caller of this process, a run under an
/// idempotency key, or a peer.
void Answer(Context& context, const RequestKey& key,
            std::uint32_t forward_attempt, Outcome outcome);

/// Answers and removes a request that is no longer queued or running.
void Finish(Context& context, const RequestPtr& request, Outcome outcome);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_
