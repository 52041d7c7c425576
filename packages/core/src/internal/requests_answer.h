#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_

#include <string>

#include "basilspread/core/error.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/request.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// What a caller is to hear.
struct Outcome {
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr payload;
};

/// The outcome as it may be told when an earlier attempt may have run: "not
/// run" is true of the last attempt only.
Outcome AccountForEarlierAttempts(Outcome outcome, bool may_have_run);

/// Answers the origin of a request: a caller of this process, a run under an
/// idempotency key, or a peer.
void Answer(Context& context, const RequestKey& key,
            std::uint32_t forward_attempt, Outcome outcome);

/// Answers a request that neither waits nor runs any longer and forgets it.
void Finish(Context& context, const RequestPtr& request, Outcome outcome);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_ANSWER_H_
