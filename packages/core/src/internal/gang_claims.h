#ifndef BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_
#define BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_

#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Room that is kept for gangs. Answers the load of gangs beside small tasks:
/// without it each end of a run makes room for one small task more, and the
/// room for a whole gang never comes together.
namespace basilspread::internal::gang_claims {

/// Whether the worker's room is kept for a gang that goes before the
/// submission.
bool IsClosedTo(const Context& context, const FleetWorker& worker,
                const Submission& submission);

/// Whether the gang may claim any workers beyond those it has.
bool MayClaim(const Context& context, const SubmissionId& gang);

/// Keeps the room of allowed workers for a gang that does not fit yet: those
/// that will have room for it first. Returns whether they suffice; if not,
/// nothing is kept.
bool Claim(Context& context, const step_offers::Round& round);

/// Keeps the room that a gang needs of workers that have it now, while their
/// tickets are renewed.
void Hold(Context& context, const step_offers::Round& round,
          std::vector<step_offers::Offer> offers);

/// The submission no longer needs the room.
void Drop(Context& context, const SubmissionId& id);

}  // namespace basilspread::internal::gang_claims

#endif  // BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_
