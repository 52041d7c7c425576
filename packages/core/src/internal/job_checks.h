#ifndef BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_

#include <optional>

#include "basilspread/core/error.h"
#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// Checks of jobs against host capacities and team quotas.
namespace basilspread::internal::jobs {

/// Why no current host or quota can ever hold the job; unset when they can.
std::optional<Error> WhyNeverFits(const Context& context, const JobShard& shard,
                                  const JobSpec& spec);

/// Repeats WhyNeverFits for every waiting job if the pool's hosts or the tables
/// have changed.
void RecheckJobs(Context& context, JobShard& shard);

/// Whether the team's quota allows the demand in addition to its current usage.
bool QuotaAllows(const Context& context, const TeamName& team,
                 const Resources& demand);
/// Adds to the team's usage.
void CountUsage(Context& context, const TeamName& team,
                const Resources& demand);
/// Recomputes the usage of all teams from the home shards of this process.
void SumUsage(Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_
