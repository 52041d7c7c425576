#include "internal/advice_selection.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/own_load.h"

namespace basilspread::internal::advice_selection {
namespace {

using step_offers::PendingStep;
using step_offers::Tickets;

/// Workers are queried beyond the number that the average share suggests, since
/// the share varies.
constexpr double kSpareFactor = 1.6;
constexpr std::size_t kSpareWorkers = 2;
/// A step takes at most the inverse of this of the idle askers, since other
/// steps ask at the same time.
constexpr std::size_t kIdleAskersPerQuery = 8;

double AllowedShare(const Context& context, const RouteName& route) {
  const auto& advice = context.state.submissions.advice;
  const auto found = advice.find(route);
  return found == advice.end() ? AdviceStatistics{}.allowed_share
                               : found->second.allowed_share;
}

/// Whether the pool has free capacity beyond what outstanding queries of more
/// urgent submissions request. Without this check, many waiting steps would
/// repeatedly query the same workers.
bool HasUnqueriedRoom(const Context& context, const PendingStep& pending) {
  const SubmissionsState& state = context.state.submissions;
  const auto room =
      state.fleet.free_by_pool.find(pending.submission.policy.pool);
  if (room == state.fleet.free_by_pool.end()) {
    return false;
  }
  Resources free = room->second.free;
  for (const auto& [number, query] : state.advice_queries) {
    if (query.rank <= pending.submission.queue_rank) {
      free -= query.requested_resources;
    }
  }
  const std::size_t minimum =
      step_offers::IsNewGang(pending) ? pending.waiting.size() : 1;
  return Fits(Times(pending.spec.demand, minimum), free);
}

/// The workers that a query names.
struct Selection {
  std::vector<HostName> workers;
  /// Expected number of tasks that will have room on allowed workers.
  double expected = 0;
};

/// Adds allowed workers with room whose tickets have expired.
void AddExpired(Context& context, const PendingStep& pending,
                Selection& selection) {
  selection.expected = step_offers::TotalRoom(
      step_offers::AllowedOffers(context, pending, Tickets::kAny));
  for (const step_offers::Offer& offer :
       step_offers::AllowedOffers(context, pending, Tickets::kExpired)) {
    selection.workers.push_back(offer.worker->entry.name);
  }
}

/// Visitor that adds workers that have not been queried yet and returns whether
/// more are needed.
std::function<bool(const step_offers::Offer&)> MakeCollector(
    Context& context, const PendingStep& pending, Selection& selection) {
  const double share = AllowedShare(context, pending.submission.route);
  const double wanted =
      static_cast<double>(pending.waiting.size()) * kSpareFactor;
  const std::size_t minimum = selection.workers.size() + kSpareWorkers;
  const std::size_t maximum = kMaxWorkersPerQuery * CountAskers(context);
  return [&pending, &selection, share, wanted, minimum,
          maximum](const auto& offer) {
    const HostName& name = offer.worker->entry.name;
    if (!pending.step.allowed.contains(name) &&
        !pending.step.forbidden.contains(name)) {
      selection.workers.push_back(name);
      selection.expected += offer.room * share;
    }
    const bool is_enough =
        selection.expected >= wanted && selection.workers.size() >= minimum;
    return !is_enough && selection.workers.size() < maximum;
  };
}

/// Adds unqueried workers that have room now.
void AddUnqueried(Context& context, const PendingStep& pending,
                  Selection& selection) {
  step_offers::VisitRoom(context, pending,
                         MakeCollector(context, pending, selection));
}

/// Adds unqueried workers that a gang may claim once it is allowed there.
void AddBusy(Context& context, const PendingStep& pending,
             Selection& selection) {
  selection.expected = 0;
  for (const auto& [name, ticket] : pending.step.allowed) {
    if (const FleetWorker* worker = fleet::Find(context, name)) {
      selection.expected += step_offers::RoomWhenIdle(pending, *worker);
    }
  }
  const double wanted =
      static_cast<double>(pending.waiting.size()) * kSpareFactor;
  if (selection.expected < wanted) {
    step_offers::VisitWhenIdle(context, pending,
                               MakeCollector(context, pending, selection));
  }
}

/// Adds workers that are claimed for the gang and whose tickets would expire
/// before the answer to a new query.
void AddClaimed(Context& context, const PendingStep& pending,
                Selection& selection) {
  const auto& claims = context.state.submissions.claims;
  const auto claim = claims.find(pending.submission.id);
  if (claim == claims.end()) {
    return;
  }
  const TimePoint answered =
      context.now +
      CostOf(*pending.submission.policy.advice, claim->second.size());
  for (const HostName& name : claim->second) {
    const auto ticket = pending.step.allowed.find(name);
    if (ticket != pending.step.allowed.end() &&
        ticket->second.valid_until < answered) {
      selection.workers.push_back(name);
    }
  }
}

/// Selects workers for a gang, which is placed as a whole. Allowed workers that
/// have room now are claimed while their tickets are renewed. If they do not
/// suffice, others with room are queried; if those are too few as well, allowed
/// workers are claimed until they have room for the gang.
Selection ChooseForGang(Context& context, const PendingStep& pending) {
  std::vector<step_offers::Offer> offers =
      step_offers::AllowedOffers(context, pending, Tickets::kAny);
  Selection renewal;
  if (step_offers::TotalRoom(offers) >= pending.waiting.size()) {
    gang_claims::ClaimAvailable(context, pending, std::move(offers));
    AddClaimed(context, pending, renewal);
    return renewal;
  }
  Selection selection;
  AddExpired(context, pending, selection);
  const std::size_t known = selection.workers.size();
  AddUnqueried(context, pending, selection);
  if (selection.expected >= static_cast<double>(pending.waiting.size())) {
    gang_claims::ReleaseClaims(context, pending.submission.id);
    return selection;
  }
  if (gang_claims::Claim(context, pending)) {
    // Unqueried workers may have room sooner than the claimed ones.
    selection.workers.erase(
        selection.workers.begin(),
        selection.workers.begin() + static_cast<std::ptrdiff_t>(known));
    AddClaimed(context, pending, selection);
    return selection;
  }
  if (gang_claims::MayClaim(context, pending.submission.id)) {
    Selection ahead;
    AddBusy(context, pending, ahead);
    return ahead;
  }
  // Renewed tickets alone do not let the gang start.
  return selection.workers.size() == known ? Selection{} : selection;
}

}  // namespace

std::size_t CountAskers(const Context& context) {
  const auto& helpers = context.state.submissions.helpers;
  const auto idle =
      std::count_if(helpers.begin(), helpers.end(), [&](const auto& entry) {
        const Helper& helper = entry.second;
        return helper.open_queries == 0 &&
               own_load::CaughtUpTo(context) < helper.heard_at + kHelperTimeout;
      });
  return std::max<std::size_t>(
      static_cast<std::size_t>(idle) / kIdleAskersPerQuery, 1);
}

Duration CostOf(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision_time +
         policy.time_per_worker * static_cast<std::int64_t>(workers);
}

bool MayQuery(const Context& context, const PendingStep& pending) {
  return HasUnqueriedRoom(context, pending) ||
         (step_offers::IsNewGang(pending) &&
          gang_claims::MayClaim(context, pending.submission.id));
}

std::vector<HostName> ChooseWorkers(Context& context,
                                    const PendingStep& pending) {
  if (step_offers::IsNewGang(pending)) {
    return ChooseForGang(context, pending).workers;
  }
  Selection selection;
  AddExpired(context, pending, selection);
  if (selection.expected < static_cast<double>(pending.waiting.size())) {
    AddUnqueried(context, pending, selection);
  }
  return std::move(selection.workers);
}

}  // namespace basilspread::internal::advice_selection
