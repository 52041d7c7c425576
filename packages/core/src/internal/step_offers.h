#ifndef BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Finds workers that have room for the tasks of a step. Many steps wait at
/// once, so that the cost of a search depends on the workers that the step can
/// use and not on the size of the fleet.
namespace basilspread::internal::step_offers {

/// A step with tasks to place.
struct PendingStep {
  Submission& submission;
  std::uint32_t index;
  const StepSpec& spec;
  StepState& step;
  /// Indices of the tasks that wait for a worker.
  std::vector<std::uint32_t> waiting;
  /// Number of the step's tasks on each worker.
  std::map<HostName, std::uint32_t> placed;
  /// Other tasks wait until their next start is permitted.
  bool has_delayed = false;
  /// Other tasks wait for the workspace's quota.
  bool is_limited_by_quota = false;
  /// The quota in force cannot hold the gang.
  bool is_beyond_quota = false;
  /// Other tasks wait for the outcome of earlier runs.
  bool awaits_outcome = false;
};

/// A worker and the number of the step's tasks that it has room for.
struct Offer {
  FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
};

PendingStep MakePendingStep(Submission& submission, std::uint32_t index,
                            TimePoint now);
/// Whether the step is a gang that has not started, so that no member may start
/// before there is room for all.
bool IsNewGang(const PendingStep& pending);

/// Whether the worker is of the pool and has the label that the step needs.
bool IsEligible(const Submission& submission, const StepSpec& spec,
                const FleetWorker& worker);
/// Number of the step's waiting tasks that fit on the worker now.
std::uint32_t RoomOn(const Context& context, const PendingStep& pending,
                     const FleetWorker& worker);
/// Number of the step's waiting tasks that would fit if nothing but
/// long-running tasks ran on the worker.
std::uint32_t RoomWhenIdle(const PendingStep& pending,
                           const FleetWorker& worker);

enum class Tickets { kValid, kExpired, kAny };

/// Workers with room that the advisor allows and whose tickets match `tickets`.
std::vector<Offer> AllowedOffers(Context& context, const PendingStep& pending,
                                 Tickets tickets);

/// Visits usable workers with room for a task of the step until `visit` returns
/// false. The workers with the least free capacity come first, but for a new
/// gang those with the most.
void VisitRoom(Context& context, const PendingStep& pending,
               const std::function<bool(const Offer&)>& visit);

/// Visits workers that would have room for a member of the gang if they were
/// idle, those with the most free capacity first, until `visit` returns false.
void VisitWhenIdle(Context& context, const PendingStep& pending,
                   const std::function<bool(const Offer&)>& visit);

/// Whether the workers that the step may use have room for all waiting tasks
/// once everything but long-running tasks has ended there.
bool FitsPool(Context& context, const PendingStep& pending);

std::uint32_t TotalRoom(const std::vector<Offer>& offers);

}  // namespace basilspread::internal::step_offers

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_
