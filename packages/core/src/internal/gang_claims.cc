#include "internal/gang_claims.h"

#include <algorithm>
#include <vector>

#include "internal/fleet.h"
#include "internal/step_placement.h"

namespace basilspread::internal::gang_claims {
namespace {

using step_offers::Offer;
using step_offers::Round;

/// Share of the workers whose room may be kept until it suffices, in percent.
/// What is kept lies idle until the gang starts, a second or two, and gangs
/// that each wait for a part of what others keep would all wait.
constexpr std::size_t kMaxClaimedPercent = 8;
constexpr std::size_t kPercent = 100;
/// Whoever goes before the gang takes its room only with less slack than this,
/// since there is room elsewhere most of the time.
constexpr Duration kUrgentSlack = std::chrono::milliseconds(300);

/// The submission that the worker's room is kept for; null: none.
const Submission* HolderOf(const Context& context, const FleetWorker& worker) {
  if (!worker.claimed_by) {
    return nullptr;
  }
  const auto& all = context.state.submissions.all;
  const auto found = all.find(*worker.claimed_by);
  return found == all.end() ? nullptr : found->second.get();
}

/// Workers that the gang may claim beyond those it has. One gang may always
/// claim what it needs, however wide it is.
std::size_t CountClaimable(const Context& context, const SubmissionId& gang) {
  const SubmissionsState& state = context.state.submissions;
  std::size_t by_others = 0;
  std::size_t by_gang = 0;
  for (const auto& [id, workers] : state.claims) {
    (id == gang ? by_gang : by_others) += workers.size();
  }
  const std::size_t all = state.fleet.workers.size();
  const std::size_t most =
      by_others == 0 ? all : all * kMaxClaimedPercent / kPercent;
  return most - std::min(most, by_others + by_gang);
}

/// Whether the room is kept for a gang that goes first.
bool IsHeldByEarlier(const Context& context, const FleetWorker& worker,
                     const Submission& submission) {
  const Submission* holder = HolderOf(context, worker);
  return holder != nullptr && holder->queue_rank && submission.queue_rank &&
         *holder->queue_rank < *submission.queue_rank;
}

struct Choice {
  FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
  /// Processor time that others have there, in thousandths of a core.
  double busy = 0;
};

/// Allowed workers that could hold members, those with the least work to wait
/// for first.
std::vector<Choice> Choices(Context& context, const Round& round) {
  std::vector<Choice> choices;
  for (const auto& [name, ticket] : round.step.allowed) {
    FleetWorker* worker = fleet::Find(context, name);
    const bool may_be_claimed =
        worker != nullptr && worker->claimed_by != round.submission.id &&
        fleet::IsUsable(context, *worker) &&
        !IsHeldByEarlier(context, *worker, round.submission);
    if (!may_be_claimed) {
      continue;
    }
    const std::uint32_t room = step_offers::RoomWhenIdle(round, *worker);
    if (room > 0) {
      choices.push_back(
          {worker, room, static_cast<double>(worker->reserved.cpu_millicores)});
    }
  }
  std::sort(choices.begin(), choices.end(),
            [](const Choice& left, const Choice& right) {
              return left.busy / left.room < right.busy / right.room;
            });
  return choices;
}

void Take(Context& context, const SubmissionId& id, FleetWorker& worker) {
  const Submission* other = HolderOf(context, worker);
  if (other != nullptr && other->id != id) {
    // The other gang goes later, and claims anew when it is looked at.
    std::erase(context.state.submissions.claims[other->id], worker.entry.name);
  }
  worker.claimed_by = id;
}

void Release(Context& context, const SubmissionId& id, const HostName& name) {
  FleetWorker* worker = fleet::Find(context, name);
  if (worker != nullptr && worker->claimed_by == id) {
    worker->claimed_by.reset();
    step_placement::OnCapacityFreed(context, *worker);
  }
}

/// Claimed workers that still may hold members. A claim stays with its worker
/// until the gang starts, since room comes together only where nothing else is
/// started meanwhile.
std::vector<Choice> Kept(Context& context, const Round& round) {
  std::vector<Choice> kept;
  const auto claim = context.state.submissions.claims.find(round.submission.id);
  if (claim == context.state.submissions.claims.end()) {
    return kept;
  }
  for (const HostName& name : claim->second) {
    FleetWorker* worker = fleet::Find(context, name);
    const bool is_held =
        worker != nullptr && worker->claimed_by == round.submission.id &&
        fleet::IsUsable(context, *worker) && round.step.allowed.contains(name);
    const std::uint32_t room =
        is_held ? step_offers::RoomWhenIdle(round, *worker) : 0;
    if (room > 0) {
      kept.push_back({worker, room, 0});
    }
  }
  return kept;
}

std::uint32_t TotalRoom(const std::vector<Choice>& choices) {
  std::uint32_t room = 0;
  for (const Choice& choice : choices) {
    room += choice.room;
  }
  return room;
}

/// The gang's room is kept on these workers and no others.
void Set(Context& context, const SubmissionId& id,
         const std::vector<FleetWorker*>& workers) {
  auto& claims = context.state.submissions.claims;
  const std::vector<HostName> before = std::move(claims[id]);
  std::vector<HostName> names;
  names.reserve(workers.size());
  for (FleetWorker* worker : workers) {
    Take(context, id, *worker);
    names.push_back(worker->entry.name);
  }
  for (const HostName& name : before) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      Release(context, id, name);
    }
  }
  claims[id] = std::move(names);
}

}  // namespace

bool IsClosedTo(const Context& context, const FleetWorker& worker,
                const Submission& submission) {
  const Submission* holder = HolderOf(context, worker);
  if (holder == nullptr || holder->id == submission.id || !holder->queue_rank ||
      !submission.queue_rank) {
    return false;
  }
  const bool goes_first = *submission.queue_rank < *holder->queue_rank;
  const bool is_urgent =
      context.now + kUrgentSlack >= submission.queue_rank->latest_start;
  return !goes_first || !is_urgent;
}

bool MayClaim(const Context& context, const SubmissionId& gang) {
  return CountClaimable(context, gang) > 0;
}

bool Claim(Context& context, const Round& round) {
  const SubmissionId& id = round.submission.id;
  std::vector<Choice> plan = Kept(context, round);
  std::uint32_t room = TotalRoom(plan);
  std::size_t left = CountClaimable(context, id);
  for (const Choice& choice : Choices(context, round)) {
    if (room >= round.waiting.size()) {
      break;
    }
    const bool is_held = HolderOf(context, *choice.worker) != nullptr;
    if (!is_held && left == 0) {
      continue;
    }
    left -= is_held ? 0 : 1;
    plan.push_back(choice);
    room += choice.room;
  }
  if (room < round.waiting.size()) {
    // A part of what it needs would only lie idle.
    Drop(context, id);
    return false;
  }
  std::vector<FleetWorker*> workers;
  workers.reserve(plan.size());
  for (const Choice& choice : plan) {
    workers.push_back(choice.worker);
  }
  Set(context, id, workers);
  return true;
}

void Hold(Context& context, const Round& round, std::vector<Offer> offers) {
  std::sort(offers.begin(), offers.end(),
            [](const Offer& left, const Offer& right) {
              return left.room > right.room;
            });
  std::vector<FleetWorker*> workers;
  std::uint32_t room = 0;
  for (const Offer& offer : offers) {
    if (room >= round.waiting.size()) {
      break;
    }
    workers.push_back(offer.worker);
    room += offer.room;
  }
  Set(context, round.submission.id, workers);
}

void Drop(Context& context, const SubmissionId& id) {
  const auto claim = context.state.submissions.claims.extract(id);
  if (claim.empty()) {
    return;
  }
  for (const HostName& name : claim.mapped()) {
    Release(context, id, name);
  }
}

}  // namespace basilspread::internal::gang_claims
