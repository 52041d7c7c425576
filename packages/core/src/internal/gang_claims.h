#ifndef BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_
#define BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_

#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Claims on workers' capacity for gangs. Without claims, small tasks take the
/// capacity that each ended run frees, and a gang that competes with them
/// starves.
namespace basilspread::internal::gang_claims {

/// Whether the worker is claimed for a gang and the submission may not use it.
bool IsBlockedFor(const Context& context, const FleetWorker& worker,
                  const Submission& submission);

/// Whether the gang may claim more workers than it has.
bool MayClaim(const Context& context, const SubmissionId& gang);

/// Claims allowed workers for a gang that does not fit yet, those with the
/// least reserved processor time per member first. Returns whether they
/// suffice; if not, the gang's claims are released.
bool Claim(Context& context, const step_offers::PendingStep& pending);

/// Claims workers that have room for the gang now while their tickets are
/// renewed.
void ClaimAvailable(Context& context, const step_offers::PendingStep& pending,
                    std::vector<step_offers::Offer> offers);

/// Releases all claims of the submission.
void ReleaseClaims(Context& context, const SubmissionId& id);

}  // namespace basilspread::internal::gang_claims

#endif  // BASILSPREAD_CORE_INTERNAL_GANG_CLAIMS_H_
