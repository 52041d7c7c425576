#ifndef BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_

#include <optional>

#include "basilspread/core/error.h"
#include "basilspread/core/jobs.h"
#include "internal/context.h"

/// What can never run, and what a team's quota leaves.
namespace basilspread::internal::jobs {

/// Why no host or quota of today can ever hold the job; unset when one can.
std::optional<Error> WhyNeverFits(const Context& context, const JobShard& shard,
                                  const JobSpec& spec);

/// Looks at the pool's hosts and the tables, and when they have changed, at
/// every waiting job again.
void CheckJobsAgain(Context& context, JobShard& shard);

/// Whether the team's quota leaves room for the demand now.
bool QuotaAllows(const Context& context, const TeamName& team,
                 const Resources& demand);
void CountUsage(Context& context, const TeamName& team,
                const Resources& demand);
/// Sums up anew what the home shards of this process have reserved.
void SumUsage(Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_CHECKS_H_
