#ifndef BASILSPREAD_CORE_QUOTA_LEDGER_H_
#define BASILSPREAD_CORE_QUOTA_LEDGER_H_

#include "basilspread/core/queue_tables.h"
#include "basilspread/core/quota.h"
#include "internal/context.h"
#include "internal/step_offers.h"

/// The leader's ledger of what the tasks of each workspace reserve, and the
/// limits that the quotas in force set to it.
namespace basilspread::internal::quota {

/// Usage of the workspace; null for an empty name.
WorkspaceUsagePtr UsageOf(Context& context, const WorkspaceName& name);

void OnReserved(Context& context, const RunName& run,
                const RunReservation& reservation);
/// Also wakes submissions that wait for the quota.
void OnFreed(Context& context, const RunName& run,
             const RunReservation& reservation);

/// Limits the step's waiting tasks to those that the quota lets start now; the
/// others wait for the quota. Returns whether any may start.
bool Limit(Context& context, step_offers::PendingStep& pending);

/// Whether the quota in force can hold each gang of the submission as a whole.
bool CanEverFit(const Context& context, const SubmissionSpec& spec);

/// Has the submissions of workspaces whose quotas have changed considered
/// again.
void OnTablesChanged(Context& context, const WorkspaceTable& before,
                     const WorkspaceTable& after);

void SetGauges(Context& context);

}  // namespace basilspread::internal::quota

#endif  // BASILSPREAD_CORE_QUOTA_LEDGER_H_
