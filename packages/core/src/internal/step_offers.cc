#include "internal/step_offers.h"

#include <algorithm>

#include "attempts/budget.h"
#include "internal/fleet.h"
#include "internal/gang_claims.h"

namespace basilspread::internal::step_offers {
namespace {

bool IsEligible(const PendingStep& pending, const FleetWorker& worker) {
  return step_offers::IsEligible(pending.submission, pending.spec, worker);
}

std::uint32_t PlacedOn(const PendingStep& pending, const HostName& worker) {
  const auto placed = pending.placed.find(worker);
  return placed == pending.placed.end() ? 0 : placed->second;
}

/// How many times the demand fits into the room, up to the limit.
std::uint32_t CountFitting(const Resources& demand, const Resources& room,
                           std::uint32_t limit) {
  std::int64_t count = limit;
  const auto bound = [&count](std::int64_t needed, std::int64_t has) {
    if (needed > 0) {
      count = std::min(count, std::max<std::int64_t>(has, 0) / needed);
    }
  };
  bound(demand.cpu_millicores, room.cpu_millicores);
  bound(demand.memory_mebibytes, room.memory_mebibytes);
  bound(demand.accelerators, room.accelerators);
  return static_cast<std::uint32_t>(count);
}

/// Number of tasks that the step may still place on the worker, regardless of
/// the worker's capacity.
std::uint32_t MaxTasksOn(const PendingStep& pending,
                         const FleetWorker& worker) {
  const auto limit = static_cast<std::uint32_t>(pending.waiting.size());
  const std::uint32_t maximum = pending.spec.max_per_worker;
  if (maximum == 0) {
    return limit;
  }
  return std::min(
      limit, maximum - std::min(PlacedOn(pending, worker.entry.name), maximum));
}

bool HasTicket(const Context& context, const TicketState& ticket,
               Tickets tickets) {
  const bool is_valid = context.now < ticket.valid_until;
  return tickets == Tickets::kAny || is_valid == (tickets == Tickets::kValid);
}

/// Visits the worker if it has room. Returns false to end the visit.
bool VisitOne(Context& context, const PendingStep& pending, FleetWorker& worker,
              const std::function<bool(const Offer&)>& visit) {
  ++context.state.load.now.workers_looked_at;
  const std::uint32_t room = RoomOn(context, pending, worker);
  return room == 0 || visit({&worker, room});
}

}  // namespace

bool IsEligible(const Submission& submission, const StepSpec& spec,
                const FleetWorker& worker) {
  const std::string& label = spec.required_label;
  const auto& labels = worker.entry.labels;
  return worker.entry.pool == submission.policy.pool &&
         (label.empty() ||
          std::find(labels.begin(), labels.end(), label) != labels.end());
}

PendingStep MakePendingStep(Submission& submission, std::uint32_t index,
                            TimePoint now) {
  PendingStep pending{submission,
                      index,
                      submission.spec->steps[index],
                      submission.steps[index],
                      {},
                      {},
                      false,
                      false,
                      false,
                      false};
  const bool is_gang_used_up =
      pending.spec.gang && attempts::IsUsedUp(submission, index, 0);
  for (std::uint32_t i = 0; i < pending.step.tasks.size(); ++i) {
    const RunState& task = pending.step.tasks[i];
    if (!task.worker.value.empty()) {
      ++pending.placed[task.worker];
    } else if (task.phase == RunPhase::kWaiting) {
      if (task.start_not_before > now) {
        pending.has_delayed = true;
      } else if (pending.spec.gang ? is_gang_used_up
                                   : attempts::IsUsedUp(submission, index, i)) {
        pending.awaits_outcome = true;
      } else {
        pending.waiting.push_back(i);
      }
    }
  }
  return pending;
}

bool IsNewGang(const PendingStep& pending) {
  return pending.spec.gang && !pending.step.gang_started_at;
}

std::uint32_t RoomOn(const Context& context, const PendingStep& pending,
                     const FleetWorker& worker) {
  const bool is_open =
      IsEligible(pending, worker) &&
      fleet::HasRoom(context, worker, pending.spec.demand) &&
      !gang_claims::IsBlockedFor(context, worker, pending.submission);
  if (!is_open) {
    return 0;
  }
  return CountFitting(pending.spec.demand,
                      worker.entry.capacity - worker.reserved,
                      MaxTasksOn(pending, worker));
}

std::uint32_t RoomWhenIdle(const PendingStep& pending,
                           const FleetWorker& worker) {
  const bool may_be_used =
      IsEligible(pending, worker) && !worker.unlisted && !worker.entry.draining;
  return may_be_used ? CountFitting(pending.spec.demand,
                                    worker.entry.capacity - worker.long_running,
                                    MaxTasksOn(pending, worker))
                     : 0;
}

std::vector<Offer> AllowedOffers(Context& context, const PendingStep& pending,
                                 Tickets tickets) {
  std::vector<Offer> offers;
  for (const auto& [name, ticket] : pending.step.allowed) {
    if (!HasTicket(context, ticket, tickets)) {
      continue;
    }
    ++context.state.load.now.workers_looked_at;
    FleetWorker* worker = fleet::Find(context, name);
    const std::uint32_t room =
        worker == nullptr ? 0 : RoomOn(context, pending, *worker);
    if (room > 0) {
      offers.push_back({worker, room});
    }
  }
  return offers;
}

void VisitRoom(Context& context, const PendingStep& pending,
               const std::function<bool(const Offer&)>& visit) {
  const auto& free_by_pool = context.state.submissions.fleet.free_by_pool;
  const auto pool = free_by_pool.find(pending.submission.policy.pool);
  if (pool == free_by_pool.end()) {
    return;
  }
  const auto& workers = pool->second.workers;
  const auto first = workers.lower_bound(
      FreeCpuKey{pending.spec.demand.cpu_millicores, 0, {}});
  if (IsNewGang(pending)) {
    for (auto key = workers.end(); key != first;) {
      --key;
      if (!VisitOne(context, pending, *key->worker, visit)) {
        return;
      }
    }
    return;
  }
  for (auto key = first; key != workers.end(); ++key) {
    if (!VisitOne(context, pending, *key->worker, visit)) {
      return;
    }
  }
}

void VisitWhenIdle(Context& context, const PendingStep& pending,
                   const std::function<bool(const Offer&)>& visit) {
  const auto& free_by_pool = context.state.submissions.fleet.free_by_pool;
  const auto pool = free_by_pool.find(pending.submission.policy.pool);
  if (pool == free_by_pool.end()) {
    return;
  }
  const auto& workers = pool->second.workers;
  for (auto key = workers.rbegin(); key != workers.rend(); ++key) {
    ++context.state.load.now.workers_looked_at;
    const std::uint32_t room = RoomWhenIdle(pending, *key->worker);
    if (room > 0 && !visit({key->worker, room})) {
      return;
    }
  }
}

bool FitsPool(Context& context, const PendingStep& pending) {
  std::size_t room = 0;
  VisitWhenIdle(context, pending, [&](const Offer& offer) {
    const bool is_forbidden =
        pending.step.forbidden.contains(offer.worker->entry.name);
    room += is_forbidden ? 0 : offer.room;
    return room < pending.waiting.size();
  });
  return room >= pending.waiting.size();
}

std::uint32_t TotalRoom(const std::vector<Offer>& offers) {
  std::uint32_t total = 0;
  for (const Offer& offer : offers) {
    total += offer.room;
  }
  return total;
}

}  // namespace basilspread::internal::step_offers
