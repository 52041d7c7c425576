#ifndef BASILSPREAD_TESTS_SOAK_GENERATOR_H_
#define BASILSPREAD_TESTS_SOAK_GENERATOR_H_

#include <vector>

#include "platform/random.h"
#include "platform/submission.h"

namespace soak {

/// Draws a submission of one of three kinds, like those of the users' sites:
/// small and urgent, in steps, or wide and advised. `routes` are those of the
/// tables, in this order.
standin::Submission MakeSubmission(standin::Random& random,
                                   const std::vector<standin::Route>& routes,
                                   std::size_t workers);

/// Makes small and urgent work last for seconds; leaves the rest as it is.
void Lengthen(standin::Submission& submission);

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_GENERATOR_H_
