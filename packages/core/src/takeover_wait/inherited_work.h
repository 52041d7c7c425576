#ifndef BASILSPREAD_CORE_TAKEOVER_WAIT_INHERITED_WORK_H_
#define BASILSPREAD_CORE_TAKEOVER_WAIT_INHERITED_WORK_H_

#include <cstdint>
#include <string>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which tasks that earlier leaders accepted wait after a takeover, since they
/// may run on workers that do not answer.
namespace basilspread::internal::takeover_wait {

/// Begins the wait if workers do not answer when the takeover is complete.
void OnTakeover(Context& context);
/// Handles that the leases of earlier leaders end sooner than was known.
void OnLeasesEndChanged(Context& context);
/// Handles that more is known of what runs on workers.
void OnWorkersChanged(Context& context);

/// Whether no task waits.
bool MayStartAll(const Context& context);
/// Whether tasks of the step may be started, as far as this wait is concerned.
/// The submission has its specification.
bool MayStart(const Context& context, const Submission& submission,
              std::uint32_t step);

/// Names of workers that have not listed all their runs, at most eight.
std::string DescribeUnanswered(const Context& context);
void SetGauges(Context& context);

}  // namespace basilspread::internal::takeover_wait

#endif  // BASILSPREAD_CORE_TAKEOVER_WAIT_INHERITED_WORK_H_
