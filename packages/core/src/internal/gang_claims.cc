#include "internal/gang_claims.h"

#include <algorithm>
#include <vector>

#include "internal/fleet.h"
#include "internal/step_placement.h"

namespace basilspread::internal::gang_claims {
namespace {

using step_offers::Offer;
using step_offers::PendingStep;

/// Share of the workers that may be claimed while several gangs hold claims, in
/// percent. Claimed capacity is idle for the second or two until its gang
/// starts, and gangs that wait for each other's claims would deadlock.
constexpr std::size_t kMaxClaimedPercent = 8;
constexpr std::size_t kPercent = 100;
/// A submission that is more urgent than the gang uses its claimed workers only
/// with less slack than this, since other workers usually have room.
constexpr Duration kUrgentSlack = std::chrono::milliseconds(300);

/// The submission that the worker is claimed for, or null.
const Submission* ClaimantOf(const Context& context,
                             const FleetWorker& worker) {
  if (!worker.claimed_by) {
    return nullptr;
  }
  const auto& all = context.state.submissions.all;
  const auto found = all.find(*worker.claimed_by);
  return found == all.end() ? nullptr : found->second.get();
}

/// Number of workers that the gang may claim in addition to those it has. While
/// no other gang holds claims there is no limit, so that the widest gang can
/// start.
std::size_t CountClaimable(const Context& context, const SubmissionId& gang) {
  const SubmissionsState& state = context.state.submissions;
  std::size_t by_others = 0;
  std::size_t by_gang = 0;
  for (const auto& [id, workers] : state.claims) {
    (id == gang ? by_gang : by_others) += workers.size();
  }
  const std::size_t all = state.fleet.workers.size();
  const std::size_t limit =
      by_others == 0 ? all : all * kMaxClaimedPercent / kPercent;
  return limit - std::min(limit, by_others + by_gang);
}

/// Whether the worker is claimed for a more urgent submission.
bool IsClaimedByMoreUrgent(const Context& context, const FleetWorker& worker,
                           const Submission& submission) {
  const Submission* claimant = ClaimantOf(context, worker);
  return claimant != nullptr && claimant->queue_rank && submission.queue_rank &&
         *claimant->queue_rank < *submission.queue_rank;
}

struct ClaimOption {
  FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
  /// Processor time that is reserved on the worker, in thousandths of a core.
  double reserved_millicores = 0;
};

/// Allowed workers that could run members once idle, those with the least
/// reserved processor time per member first.
std::vector<ClaimOption> FindClaimOptions(Context& context,
                                          const PendingStep& pending) {
  std::vector<ClaimOption> options;
  for (const auto& [name, ticket] : pending.step.allowed) {
    FleetWorker* worker = fleet::Find(context, name);
    const bool may_be_claimed =
        worker != nullptr && worker->claimed_by != pending.submission.id &&
        fleet::IsUsable(context, *worker) &&
        !IsClaimedByMoreUrgent(context, *worker, pending.submission);
    if (!may_be_claimed) {
      continue;
    }
    const std::uint32_t room = step_offers::RoomWhenIdle(pending, *worker);
    if (room > 0) {
      options.push_back(
          {worker, room, static_cast<double>(worker->reserved.cpu_millicores)});
    }
  }
  std::sort(options.begin(), options.end(),
            [](const ClaimOption& left, const ClaimOption& right) {
              return left.reserved_millicores / left.room <
                     right.reserved_millicores / right.room;
            });
  return options;
}

void SetClaimant(Context& context, const SubmissionId& id,
                 FleetWorker& worker) {
  const Submission* other = ClaimantOf(context, worker);
  if (other != nullptr && other->id != id) {
    // The other gang is less urgent and claims again at its next placement.
    std::erase(context.state.submissions.claims[other->id], worker.entry.name);
  }
  worker.claimed_by = id;
}

void ReleaseWorker(Context& context, const SubmissionId& id,
                   const HostName& name) {
  FleetWorker* worker = fleet::Find(context, name);
  if (worker != nullptr && worker->claimed_by == id) {
    worker->claimed_by.reset();
    step_placement::OnCapacityFreed(context, *worker);
  }
}

/// Claimed workers that can still run members. A claim stays with its worker
/// until the gang starts, since capacity accumulates only on workers where
/// nothing else is started.
std::vector<ClaimOption> RetainedClaims(Context& context,
                                        const PendingStep& pending) {
  std::vector<ClaimOption> kept;
  const auto claim =
      context.state.submissions.claims.find(pending.submission.id);
  if (claim == context.state.submissions.claims.end()) {
    return kept;
  }
  for (const HostName& name : claim->second) {
    FleetWorker* worker = fleet::Find(context, name);
    const bool is_claimed = worker != nullptr &&
                            worker->claimed_by == pending.submission.id &&
                            fleet::IsUsable(context, *worker) &&
                            pending.step.allowed.contains(name);
    const std::uint32_t room =
        is_claimed ? step_offers::RoomWhenIdle(pending, *worker) : 0;
    if (room > 0) {
      kept.push_back({worker, room, 0});
    }
  }
  return kept;
}

std::uint32_t TotalRoom(const std::vector<ClaimOption>& options) {
  std::uint32_t room = 0;
  for (const ClaimOption& option : options) {
    room += option.room;
  }
  return room;
}

/// Replaces the gang's claims by claims on these workers.
void SetClaims(Context& context, const SubmissionId& id,
               const std::vector<FleetWorker*>& workers) {
  auto& claims = context.state.submissions.claims;
  const std::vector<HostName> before = std::move(claims[id]);
  std::vector<HostName> names;
  names.reserve(workers.size());
  for (FleetWorker* worker : workers) {
    SetClaimant(context, id, *worker);
    names.push_back(worker->entry.name);
  }
  for (const HostName& name : before) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      ReleaseWorker(context, id, name);
    }
  }
  claims[id] = std::move(names);
}

}  // namespace

bool IsBlockedFor(const Context& context, const FleetWorker& worker,
                  const Submission& submission) {
  const Submission* claimant = ClaimantOf(context, worker);
  if (claimant == nullptr || claimant->id == submission.id ||
      !claimant->queue_rank || !submission.queue_rank) {
    return false;
  }
  const bool goes_first = *submission.queue_rank < *claimant->queue_rank;
  const bool is_urgent =
      context.now + kUrgentSlack >= submission.queue_rank->latest_start;
  return !goes_first || !is_urgent;
}

bool MayClaim(const Context& context, const SubmissionId& gang) {
  return CountClaimable(context, gang) > 0;
}

bool Claim(Context& context, const PendingStep& pending) {
  const SubmissionId& id = pending.submission.id;
  std::vector<ClaimOption> plan = RetainedClaims(context, pending);
  std::uint32_t room = TotalRoom(plan);
  std::size_t left = CountClaimable(context, id);
  for (const ClaimOption& option : FindClaimOptions(context, pending)) {
    if (room >= pending.waiting.size()) {
      break;
    }
    const bool is_claimed = ClaimantOf(context, *option.worker) != nullptr;
    if (!is_claimed && left == 0) {
      continue;
    }
    left -= is_claimed ? 0 : 1;
    plan.push_back(option);
    room += option.room;
  }
  if (room < pending.waiting.size()) {
    // An incomplete claim would only leave capacity idle.
    ReleaseClaims(context, id);
    return false;
  }
  std::vector<FleetWorker*> workers;
  workers.reserve(plan.size());
  for (const ClaimOption& option : plan) {
    workers.push_back(option.worker);
  }
  SetClaims(context, id, workers);
  return true;
}

void ClaimAvailable(Context& context, const PendingStep& pending,
                    std::vector<Offer> offers) {
  std::sort(offers.begin(), offers.end(),
            [](const Offer& left, const Offer& right) {
              return left.room > right.room;
            });
  std::vector<FleetWorker*> workers;
  std::uint32_t room = 0;
  for (const Offer& offer : offers) {
    if (room >= pending.waiting.size()) {
      break;
    }
    workers.push_back(offer.worker);
    room += offer.room;
  }
  SetClaims(context, pending.submission.id, workers);
}

void ReleaseClaims(Context& context, const SubmissionId& id) {
  const auto claim = context.state.submissions.claims.extract(id);
  if (claim.empty()) {
    return;
  }
  for (const HostName& name : claim.mapped()) {
    ReleaseWorker(context, id, name);
  }
}

}  // namespace basilspread::internal::gang_claims
