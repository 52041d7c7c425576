#ifndef BASILSPREAD_CORE_INTERNAL_ADVICE_SELECTION_H_
#define BASILSPREAD_CORE_INTERNAL_ADVICE_SELECTION_H_

#include <cstddef>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// Which workers an advice query names.
namespace basilspread::internal::advice_selection {

/// A helper that has not reported for this long is asked nothing.
inline constexpr Duration kHelperTimeout = std::chrono::seconds(3);
/// Limit of the advisor.
inline constexpr std::size_t kMaxWorkersPerQuery = 100;

/// Number of processes that one step may ask at the same time; at least one.
std::size_t CountAskers(const Context& context);

/// Time that the advisor takes for a query about so many workers.
Duration CostOf(const AdvicePolicy& policy, std::size_t workers);

/// Whether an answer could let the step start: there is capacity beyond what
/// more urgent steps ask for. A gang also queries workers without room that it
/// can claim.
bool MayQuery(const Context& context, const step_offers::PendingStep& pending);

/// The workers to query now; none when no answer would help.
std::vector<HostName> ChooseWorkers(Context& context,
                                    const step_offers::PendingStep& pending);

}  // namespace basilspread::internal::advice_selection

#endif  // BASILSPREAD_CORE_INTERNAL_ADVICE_SELECTION_H_
