#include "internal/gang_claims.h"

#include <algorithm>
#include <vector>

#include "internal/fleet.h"
#include "internal/step_placement.h"

namespace basilspread::internal::gang_claims {
namespace {

using step_offers::Round;

/// Share of a pool's workers whose room may be kept at once, in percent. What
/// is kept lies idle until the gang starts, a second or two.
constexpr std::size_t kMaxClaimedPercent = 25;
constexpr std::size_t kPercent = 100;

/// The submission that the worker's room is kept for; null: none.
const Submission* HolderOf(const Context& context, const FleetWorker& worker) {
  if (!worker.claimed_by) {
    return nullptr;
  }
  const auto& all = context.state.submissions.all;
  const auto found = all.find(*worker.claimed_by);
  return found == all.end() ? nullptr : found->second.get();
}

std::size_t CountClaimed(const Context& context) {
  std::size_t count = 0;
  for (const auto& [id, workers] : context.state.submissions.claims) {
    count += workers.size();
  }
  return count;
}

std::size_t MostClaimed(const Context& context) {
  return context.state.submissions.fleet.workers.size() * kMaxClaimedPercent /
         kPercent;
}

struct Choice {
  FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
};

/// Allowed workers that could hold members, those with the least work to wait
/// for first.
std::vector<Choice> Choices(Context& context, const Round& round) {
  std::vector<Choice> choices;
  for (const auto& [name, ticket] : round.step.allowed) {
    FleetWorker* worker = fleet::Find(context, name);
    if (worker == nullptr || IsClosedTo(context, *worker, round.submission)) {
      continue;
    }
    const std::uint32_t room = step_offers::RoomWhenIdle(round, *worker);
    if (room > 0) {
      choices.push_back({worker, room});
    }
  }
  std::sort(choices.begin(), choices.end(),
            [](const Choice& left, const Choice& right) {
              return left.worker->reserved.cpu_millicores <
                     right.worker->reserved.cpu_millicores;
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
    step_placement::OnRoom(context, *worker);
  }
}

}  // namespace

bool IsClosedTo(const Context& context, const FleetWorker& worker,
                const Submission& submission) {
  const Submission* holder = HolderOf(context, worker);
  return holder != nullptr && holder->id != submission.id &&
         holder->queued_as &&
         (!submission.queued_as || *holder->queued_as < *submission.queued_as);
}

bool Claim(Context& context, const Round& round) {
  const SubmissionId& id = round.submission.id;
  const std::vector<HostName> before =
      std::move(context.state.submissions.claims[id]);
  context.state.submissions.claims.erase(id);
  const std::size_t most = MostClaimed(context);
  std::size_t left = most - std::min(most, CountClaimed(context));
  std::vector<HostName> claimed;
  std::uint32_t room = 0;
  for (const Choice& choice : Choices(context, round)) {
    if (room >= round.waiting.size() || left == 0) {
      break;
    }
    Take(context, id, *choice.worker);
    claimed.push_back(choice.worker->entry.name);
    room += choice.room;
    --left;
  }
  for (const HostName& name : before) {
    if (std::find(claimed.begin(), claimed.end(), name) == claimed.end()) {
      Release(context, id, name);
    }
  }
  if (!claimed.empty()) {
    context.state.submissions.claims[id] = std::move(claimed);
  }
  return room >= round.waiting.size();
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
