#include "quota/ledger.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string_view>

#include "internal/leadership.h"
#include "internal/queue_tables.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"
#include "quota/amounts.h"
#include "quota/uncertain_usage.h"
#include "quota/waiting_gangs.h"

namespace basilspread::internal::quota {
namespace {

/// Submissions that one freed reservation wakes; each task that starts or ends
/// later wakes further ones.
constexpr int kMaxWoken = 4;
constexpr std::string_view kPart = "quota";
constexpr double kMillicores = 1000;
/// Ranks change, so that a submission may have several entries. Beyond this
/// many all are dropped, and the sweep of the queue finds the submissions.
constexpr std::size_t kMaxEntries = 2048;

double CoresOf(const Resources& amount) {
  return static_cast<double>(amount.cpu_millicores) / kMillicores;
}

QuotaState& StateOf(Context& context) {
  return context.state.submissions.quota;
}

void WaitForQuota(Context& context, step_offers::PendingStep& pending) {
  const Submission& submission = pending.submission;
  pending.is_limited_by_quota = true;
  if (submission.usage->waiting.size() >= kMaxEntries) {
    submission.usage->waiting.clear();
  }
  submission.usage->waiting.emplace(*submission.queue_rank, submission.id);
  context.Count(Metric::kQuotaWaits, submission.usage->name.value);
}

/// Nothing that ends makes room for the gang; only other tables do, or the end
/// of long-running tasks.
void WaitForOtherTables(Context& context, step_offers::PendingStep& pending,
                        const Workspace& row) {
  const Submission& submission = pending.submission;
  waiting_gangs::Remove(submission);
  pending.is_beyond_quota = true;
  if (pending.step.wait_reason == WaitReason::kBeyondQuota) {
    return;
  }
  context.Log(
      LogLevel::kWarning, kPart,
      "The quota in force cannot hold a gang; it waits for another quota.",
      {{"id", submission.id.value},
       {"step", pending.index},
       {"workspace", row.name.value},
       {"members", pending.waiting.size()},
       {"member_cores", CoresOf(pending.spec.demand)},
       {"quota_cores", CoresOf(row.quota)},
       {"long_running_cores", CoresOf(submission.usage->long_running)},
       {"tables", queue_tables::Version(context).value}});
}

/// Workspaces whose quotas differ between the tables.
std::set<WorkspaceName> ChangedQuotas(Context& context,
                                      const WorkspaceTable& before,
                                      const WorkspaceTable& after) {
  std::set<WorkspaceName> changed;
  for (const auto& [name, row] : after.rows) {
    const auto old = before.rows.find(name);
    if (old == before.rows.end() || old->second.quota == row.quota) {
      continue;
    }
    changed.insert(name);
    context.Log(LogLevel::kInfo, kPart, "The quota of a workspace has changed.",
                {{"workspace", name.value},
                 {"cores_before", CoresOf(old->second.quota)},
                 {"cores", CoresOf(row.quota)},
                 {"tables", queue_tables::Version(context).value}});
  }
  return changed;
}

}  // namespace

WorkspaceUsagePtr UsageOf(Context& context, const WorkspaceName& name) {
  if (name.value.empty()) {
    return {};
  }
  WorkspaceUsagePtr& usage = StateOf(context).usage[name];
  if (!usage) {
    usage.reset(new WorkspaceUsage);
    usage->name = name;
  }
  return usage;
}

void OnReserved(Context& context, const RunName& run,
                const RunReservation& reservation) {
  ++StateOf(context).runs[run.task.submission];
  if (reservation.usage) {
    reservation.usage->reserved += reservation.demand;
    if (reservation.is_long_running) {
      reservation.usage->long_running += reservation.demand;
    }
    ++reservation.usage->runs;
  }
}

void OnFreed(Context& context, const RunName& run,
             const RunReservation& reservation) {
  auto& runs = StateOf(context).runs;
  const auto count = runs.find(run.task.submission);
  if (count != runs.end() && --count->second == 0) {
    runs.erase(count);
  }
  if (!reservation.usage) {
    return;
  }
  WorkspaceUsage& usage = *reservation.usage;
  usage.reserved -= reservation.demand;
  if (reservation.is_long_running) {
    usage.long_running -= reservation.demand;
  }
  --usage.runs;
  auto entry = usage.waiting.begin();
  for (int i = 0; i < kMaxWoken && entry != usage.waiting.end(); ++i) {
    if (Submission* submission =
            submission_progress::Find(context, entry->second)) {
      step_placement::Wake(context, *submission);
    }
    entry = usage.waiting.erase(entry);
  }
}

bool Limit(Context& context, step_offers::PendingStep& pending) {
  const WorkspaceUsagePtr& usage = pending.submission.usage;
  // What an absent workspace has been accepted for goes on without a limit.
  const Workspace* row =
      usage ? queue_tables::FindWorkspace(context, usage->name) : nullptr;
  if (row == nullptr) {
    return true;
  }
  if (pending.spec.gang &&
      !waiting_gangs::CanHold(*row, pending.submission, pending.index)) {
    WaitForOtherTables(context, pending, *row);
    return false;
  }
  if (waiting_gangs::MustYield(context, *row, pending.submission)) {
    WaitForQuota(context, pending);
    return false;
  }
  const std::int64_t startable = CountStartable(
      row->quota, usage->reserved + uncertain_usage::Of(context, usage->name),
      pending.spec.demand);
  const auto waiting = static_cast<std::int64_t>(pending.waiting.size());
  if (startable >= waiting) {
    if (pending.spec.gang) {
      // It may go on waiting for room, which must not hold up other work.
      waiting_gangs::Remove(pending.submission);
    }
    return true;
  }
  WaitForQuota(context, pending);
  if (pending.spec.gang) {
    // A gang makes no progress before all of its members run.
    waiting_gangs::Add(context, pending);
    return false;
  }
  if (startable == 0) {
    return false;
  }
  pending.waiting.resize(static_cast<std::size_t>(startable));
  return true;
}

bool CanEverFit(const Context& context, const SubmissionSpec& spec) {
  const Workspace* row = queue_tables::FindWorkspace(context, spec.workspace);
  return row == nullptr ||
         std::all_of(spec.steps.begin(), spec.steps.end(),
                     [row](const StepSpec& step) {
                       return !step.gang ||
                              CountStartable(row->quota, {}, step.demand) >=
                                  static_cast<std::int64_t>(step.count);
                     });
}

void OnTablesChanged(Context& context, const WorkspaceTable& before,
                     const WorkspaceTable& after) {
  if (!leadership::IsLeading(context)) {
    return;
  }
  const std::set<WorkspaceName> changed = ChangedQuotas(context, before, after);
  if (changed.empty()) {
    return;
  }
  for (const auto& [rank, id] : context.state.submissions.queue) {
    Submission* submission = submission_progress::Find(context, id);
    if (submission != nullptr && submission->usage &&
        changed.contains(submission->usage->name)) {
      step_placement::Wake(context, *submission);
    }
  }
}

void SetGauges(Context& context) {
  for (const auto& [name, usage] : StateOf(context).usage) {
    context.Emit(SetGauge{Metric::kQuotaUsedCores, CoresOf(usage->reserved),
                          name.value});
  }
}

}  // namespace basilspread::internal::quota
