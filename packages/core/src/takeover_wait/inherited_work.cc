#include "takeover_wait/inherited_work.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

#include "internal/fleet.h"
#include "internal/fleet_polls.h"
#include "internal/leadership.h"
#include "internal/leadership_proof.h"
#include "internal/predecessors.h"
#include "internal/step_placement.h"
#include "internal/submission_runs.h"
#include "takeover_wait/worker_records.h"

namespace basilspread::internal::takeover_wait {
namespace {

constexpr std::string_view kPart = "fleet";

FleetState& StateOf(Context& context) {
  return context.state.submissions.fleet;
}

/// Workers that inherited tasks may wait for. The ends that a worker still has
/// to list outlast the leases.
const std::set<HostName>& AwaitedWorkers(const Context& context) {
  const FleetState& fleet = context.state.submissions.fleet;
  return leadership_proof::HaveLapsed(context, *fleet.inherited_leases_end)
             ? fleet.with_unread_ends
             : fleet.unanswered;
}

/// Number of submissions with tasks that wait.
std::size_t CountHeld(const Context& context) {
  const auto& all = context.state.submissions.all;
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&context](const auto& item) {
        const Submission& submission = *item.second;
        bool is_held = false;
        for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
          is_held = is_held || (submission_runs::IsReady(submission, i) &&
                                !MayStart(context, submission, i));
        }
        return is_held && submission.spec && !HasEnded(submission.state);
      }));
}

}  // namespace

void OnTakeover(Context& context) {
  FleetState& fleet = StateOf(context);
  if (fleet.is_listed && fleet.unanswered.empty()) {
    return;
  }
  fleet.inherited_leases_end = predecessors::LeasesEnd(context);
  fleet.holds_inherited = true;
  RecordUnused(context);
  const LeadershipState& leadership = context.state.submissions.leadership;
  context.Log(
      LogLevel::kWarning, kPart,
      "Workers do not answer; tasks that may run there wait for the leases "
      "of the previous leader to lapse.",
      {{"epoch", leadership.epoch.value},
       {"workers", fleet.unanswered.size()},
       {"awaited", DescribeUnanswered(context)},
       {"held", CountHeld(context)},
       {"leaders", leadership.predecessors.size()},
       {"wait_ms", *fleet.inherited_leases_end - context.now}});
}

void OnLeasesEndChanged(Context& context) {
  FleetState& fleet = StateOf(context);
  const TimePoint end = predecessors::LeasesEnd(context);
  if (fleet.inherited_leases_end) {
    fleet.inherited_leases_end = end;
  }
  for (auto& [name, worker] : fleet.workers) {
    if (!worker.is_reconciled && worker.leased_until > end) {
      worker.leased_until = end;
      fleet::polls::UpdateDueTime(context, worker);
    }
  }
}

void OnWorkersChanged(Context& context) {
  FleetState& fleet = StateOf(context);
  if (!fleet.holds_inherited || !MayStartAll(context)) {
    return;
  }
  fleet.holds_inherited = false;
  const LeadershipState& leadership = context.state.submissions.leadership;
  context.Log(LogLevel::kInfo, kPart, "Inherited tasks may start.",
              {{"epoch", leadership.epoch.value},
               {"since_gained_ms", context.now - leadership.gained_at},
               {"lease_left_ms", *fleet.inherited_leases_end - context.now},
               {"unanswered", fleet.unanswered.size()},
               {"awaited", DescribeUnanswered(context)}});
  step_placement::WakeAll(context);
}

bool MayStartAll(const Context& context) {
  const FleetState& fleet = context.state.submissions.fleet;
  return !fleet.inherited_leases_end ||
         (leadership_proof::HaveLapsed(context, *fleet.inherited_leases_end) &&
          fleet.with_unread_ends.empty()) ||
         (fleet.is_listed && fleet.unanswered.empty());
}

bool MayStart(const Context& context, const Submission& submission,
              std::uint32_t step) {
  if (!submission.inherited || MayStartAll(context)) {
    return true;
  }
  const FleetState& fleet = context.state.submissions.fleet;
  const std::set<HostName>& awaited = AwaitedWorkers(context);
  // Only the list tells what kind of worker each is.
  return fleet.is_listed &&
         std::none_of(
             awaited.begin(), awaited.end(), [&](const HostName& name) {
               return MayHold(fleet.workers.at(name), submission, step);
             });
}

std::string DescribeUnanswered(const Context& context) {
  constexpr std::size_t kMaxNames = 8;
  std::string names;
  std::size_t count = 0;
  for (const HostName& name : context.state.submissions.fleet.unanswered) {
    if (count++ == kMaxNames) {
      break;
    }
    names += (names.empty() ? "" : " ") + name.value;
  }
  return names;
}

void SetGauges(Context& context) {
  const FleetState& fleet = StateOf(context);
  const bool waits = leadership::IsLeading(context) && fleet.holds_inherited;
  const Duration left =
      waits ? std::max(*fleet.inherited_leases_end - context.now,
                       Duration::zero())
            : Duration::zero();
  context.Emit(SetGauge{Metric::kTakeoverWait,
                        std::chrono::duration<double>(left).count()});
  context.Emit(SetGauge{Metric::kWorkersUnanswered,
                        static_cast<double>(fleet.unanswered.size())});
}

}  // namespace basilspread::internal::takeover_wait
