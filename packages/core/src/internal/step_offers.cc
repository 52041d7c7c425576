#include "internal/step_offers.h"

#include <algorithm>

#include "internal/fleet.h"
#include "internal/gang_claims.h"

namespace basilspread::internal::step_offers {
namespace {

bool Suits(const Round& round, const FleetWorker& worker) {
  const bool is_in_pool = worker.entry.pool == round.submission.policy.pool;
  const std::string& label = round.spec.required_label;
  const auto& labels = worker.entry.labels;
  return is_in_pool && (label.empty() || std::find(labels.begin(), labels.end(),
                                                   label) != labels.end());
}

std::uint32_t PlacedOn(const Round& round, const HostName& worker) {
  const auto placed = round.placed.find(worker);
  return placed == round.placed.end() ? 0 : placed->second;
}

/// How often the demand goes into the room.
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

/// Tasks that the step may still place on the worker, by number alone.
std::uint32_t LimitOn(const Round& round, const FleetWorker& worker) {
  const auto limit = static_cast<std::uint32_t>(round.waiting.size());
  const std::uint32_t most = round.spec.max_per_worker;
  if (most == 0) {
    return limit;
  }
  return std::min(limit,
                  most - std::min(PlacedOn(round, worker.entry.name), most));
}

bool HasTicket(const Context& context, const TicketState& ticket,
               Tickets tickets) {
  const bool is_valid = context.now < ticket.valid_until;
  return tickets == Tickets::kAny || is_valid == (tickets == Tickets::kValid);
}

/// False when no more workers are to be visited.
bool VisitOne(Context& context, const Round& round, FleetWorker& worker,
              const std::function<bool(const Offer&)>& visit) {
  ++context.state.load.now.workers_looked_at;
  const std::uint32_t room = RoomOn(context, round, worker);
  return room == 0 || visit({&worker, room});
}

}  // namespace

Round MakeRound(Submission& submission, std::uint32_t index) {
  Round round{
      submission, index, submission.spec->steps[index], submission.steps[index],
      {},         {}};
  for (std::uint32_t i = 0; i < round.step.tasks.size(); ++i) {
    const RunState& task = round.step.tasks[i];
    if (!task.worker.value.empty()) {
      ++round.placed[task.worker];
    } else if (task.phase == RunPhase::kWaiting) {
      round.waiting.push_back(i);
    }
  }
  return round;
}

bool IsNewGang(const Round& round) {
  return round.spec.gang && !round.step.gang_began;
}

std::uint32_t RoomOn(const Context& context, const Round& round,
                     const FleetWorker& worker) {
  const bool is_open =
      Suits(round, worker) &&
      fleet::HasRoom(context, worker, round.spec.demand) &&
      !gang_claims::IsClosedTo(context, worker, round.submission);
  if (!is_open) {
    return 0;
  }
  return CountFitting(round.spec.demand,
                      worker.entry.capacity - worker.reserved,
                      LimitOn(round, worker));
}

std::uint32_t RoomWhenIdle(const Round& round, const FleetWorker& worker) {
  const bool may_be_used =
      Suits(round, worker) && !worker.unlisted && !worker.entry.draining;
  return may_be_used ? CountFitting(round.spec.demand, worker.entry.capacity,
                                    LimitOn(round, worker))
                     : 0;
}

std::vector<Offer> Allowed(Context& context, const Round& round,
                           Tickets tickets) {
  std::vector<Offer> offers;
  for (const auto& [name, ticket] : round.step.allowed) {
    if (!HasTicket(context, ticket, tickets)) {
      continue;
    }
    ++context.state.load.now.workers_looked_at;
    FleetWorker* worker = fleet::Find(context, name);
    const std::uint32_t room =
        worker == nullptr ? 0 : RoomOn(context, round, *worker);
    if (room > 0) {
      offers.push_back({worker, room});
    }
  }
  return offers;
}

void VisitRoom(Context& context, const Round& round,
               const std::function<bool(const Offer&)>& visit) {
  const auto& free_by_pool = context.state.submissions.fleet.free_by_pool;
  const auto pool = free_by_pool.find(round.submission.policy.pool);
  if (pool == free_by_pool.end()) {
    return;
  }
  const auto& workers = pool->second.workers;
  const auto first =
      workers.lower_bound(FreeCpuKey{round.spec.demand.cpu_millicores, 0, {}});
  if (IsNewGang(round)) {
    for (auto key = workers.end(); key != first;) {
      --key;
      if (!VisitOne(context, round, *key->worker, visit)) {
        return;
      }
    }
    return;
  }
  for (auto key = first; key != workers.end(); ++key) {
    if (!VisitOne(context, round, *key->worker, visit)) {
      return;
    }
  }
}

void VisitWhenIdle(Context& context, const Round& round,
                   const std::function<bool(const Offer&)>& visit) {
  const auto& free_by_pool = context.state.submissions.fleet.free_by_pool;
  const auto pool = free_by_pool.find(round.submission.policy.pool);
  if (pool == free_by_pool.end()) {
    return;
  }
  const auto& workers = pool->second.workers;
  for (auto key = workers.rbegin(); key != workers.rend(); ++key) {
    ++context.state.load.now.workers_looked_at;
    const std::uint32_t room = RoomWhenIdle(round, *key->worker);
    if (room > 0 && !visit({key->worker, room})) {
      return;
    }
  }
}

std::uint32_t TotalRoom(const std::vector<Offer>& offers) {
  std::uint32_t total = 0;
  for (const Offer& offer : offers) {
    total += offer.room;
  }
  return total;
}

}  // namespace basilspread::internal::step_offers
