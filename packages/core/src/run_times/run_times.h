#ifndef BASILSPREAD_CORE_RUN_TIMES_RUN_TIMES_H_
#define BASILSPREAD_CORE_RUN_TIMES_RUN_TIMES_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Run times that the leader learns from finished runs. An estimate orders and
/// bounds waits; it is never a proof that a run has ended or will not be served
/// in time. Without learned run times, estimates have no spread and are not
/// sure.
namespace basilspread::internal::run_times {

/// Whether distributions are learned in this deployment.
bool IsEnabled(const Context& context);

/// Mean run time of a task of the step on an average worker; zero if nothing is
/// known and the caller declares none.
Duration Expected(const Context& context, const Submission& submission,
                  std::uint32_t step);
/// Mean run time of the longest of `count` tasks of the step.
Duration ExpectedLongest(const Context& context, const Submission& submission,
                         std::uint32_t step, std::uint32_t count);
/// Time that a share `q` of the step's tasks does not exceed.
Duration Quantile(const Context& context, const Submission& submission,
                  std::uint32_t step, double q);
/// Mean time that a task still takes which has run for `elapsed`.
Duration Remaining(const Context& context, const Submission& submission,
                   std::uint32_t step, Duration elapsed);
/// Whether enough runs of this kind of work were measured. If not, the estimate
/// is mostly that of the route, or what the caller declares.
bool IsSure(const Context& context, const Submission& submission,
            std::uint32_t step);

/// Factor by which runs take longer on the worker than elsewhere; 1 while it is
/// unknown.
double SlownessOf(const Context& context, const HostName& worker);

/// Learns from a successful run that did not resume from a checkpoint.
void RecordRun(Context& context, const Submission& submission,
               std::uint32_t step, const HostName& worker, Duration run_time);

/// Expected, and ExpectedLongest of the tasks that have not succeeded.
StepEstimate Estimate(const Context& context, const Submission& submission,
                      std::uint32_t step);
/// Updates the estimates that are kept with the submission's steps, unless they
/// are recent.
void Refresh(const Context& context, Submission& submission);

void SetGauges(Context& context);

}  // namespace basilspread::internal::run_times

#endif  // BASILSPREAD_CORE_RUN_TIMES_RUN_TIMES_H_
