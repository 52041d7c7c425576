#include "internal/job_reservations.h"

#include <algorithm>
#include <set>
#include <utility>

#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/job_queue.h"

namespace basilspread::internal::jobs {
namespace {

/// How long an owner holds capacity for a round without a ConfirmTasks.
constexpr Duration kHoldTime = std::chrono::seconds(4);
/// Time-out of a round, well before its holds expire.
constexpr Duration kRoundTimeout = std::chrono::milliseconds(1500);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxDoublings = 6;
constexpr std::uint64_t kJitterPercent = 50;
constexpr std::size_t kMaxRounds = 64;

Job* FindJobOf(Context& context, const Reservation& round) {
  JobShard* shard = FindOwned(context, round.home);
  return shard == nullptr ? nullptr : FindJob(*shard, round.job);
}

void BackOff(Context& context, Job& job) {
  const std::uint32_t doublings = std::min(job.spill_failures, kMaxDoublings);
  const Duration base = kFirstBackoff * (1U << doublings);
  const Duration jitter =
      base * context.state.random.NextBelow(kJitterPercent) / 100;
  ++job.spill_failures;
  job.spill_not_before = context.now + base + jitter;
}

void Abort(Context& context, const Reservation& round) {
  std::set<ShardId> places;
  for (const auto& [name, place] : round.places) {
    places.insert(place);
  }
  places.insert(round.asked);
  for (const ShardId& place : places) {
    Deliver(context, place, ReleaseHold{round.hold, place});
  }
  Job* job = FindJobOf(context, round);
  if (job != nullptr) {
    job->reserving = false;
    BackOff(context, *job);
  }
}

/// Appends the intent records of all grants, in one batch.
void Commit(Context& context, const Reservation& round) {
  Job* job = FindJobOf(context, round);
  if (job == nullptr || job->cancelled || job->ended) {
    Abort(context, round);
    return;
  }
  job->reserving = false;
  job->spill_failures = 0;
  JobShard& shard = *FindOwned(context, round.home);
  for (const TaskGrant& grant : round.grants) {
    Task* task = FindTask(shard, grant.name.task);
    task->hold = round.hold;
    AppendIntent(context, round.home, *job, *task, round.places.at(grant.name),
                 grant);
  }
  job->reason.clear();
  Refresh(context, shard, *job);
}

/// Asks the next shard, or ends the round. All rounds ask the shards one at a
/// time in the same order, so that no two rounds hold capacity that the other
/// one waits for (deadlock avoidance by ordered acquisition).
void AskNext(Context& context, const HoldId& id) {
  const auto found = context.state.jobs.reservations.find(id);
  Reservation& round = found->second;
  Job* job = FindJobOf(context, round);
  const bool is_complete = round.missing.empty();
  const bool is_done = is_complete || round.next.empty() || job == nullptr;
  if (is_done) {
    const Reservation ended = std::move(round);
    context.state.jobs.reservations.erase(found);
    const bool is_gang = job != nullptr && job->spec.gang;
    if (is_complete || (!is_gang && !ended.grants.empty())) {
      Commit(context, ended);
    } else {
      Abort(context, ended);
    }
    return;
  }
  round.asked = round.next.front();
  round.next.erase(round.next.begin());
  ReserveTasks ask;
  ask.hold = id;
  ask.home = round.home;
  ask.home_epoch = ownership::EpochOf(context, round.home);
  ask.place = round.asked;
  ask.tasks = round.missing;
  ask.hold_for = kHoldTime;
  if (!Deliver(context, ask.place, ask)) {
    AskNext(context, id);
  }
}

}  // namespace

void Reserve(Context& context, const ShardId& id, Job& job,
             const std::vector<Task*>& tasks) {
  const Pool* pool =
      FindWorkerPool(context, context.state.jobs.shards.at(id).pool);
  const bool is_single_shard = pool == nullptr || pool->shards < 2;
  if (is_single_shard || job.reserving || context.now < job.spill_not_before ||
      context.state.jobs.reservations.size() >= kMaxRounds) {
    return;
  }
  Reservation round;
  round.hold =
      HoldId{context.state.settings.self, context.state.jobs.next_hold++};
  round.home = id;
  round.job = job.spec.id;
  round.until = context.now + kRoundTimeout;
  round.next = ShardsOf(*pool);
  if (!job.spec.gang) {
    std::erase(round.next, id);
  }
  for (const Task* task : tasks) {
    const TaskAttempt name{task->id, Attempt{task->attempt.value + 1}};
    round.missing.push_back(TaskDemand{name, task->demand});
  }
  job.reserving = true;
  const HoldId hold = round.hold;
  context.state.jobs.reservations.emplace(hold, std::move(round));
  AskNext(context, hold);
}

void OnMessage(Context& context, const ProcessId& /*from*/,
               const ReserveAnswer& message) {
  const auto found = context.state.jobs.reservations.find(message.hold);
  const bool is_expected = found != context.state.jobs.reservations.end() &&
                           found->second.asked == message.place;
  if (!is_expected) {
    Deliver(context, message.place, ReleaseHold{message.hold, message.place});
    return;
  }
  Reservation& round = found->second;
  for (const TaskGrant& grant : message.grants) {
    round.places[grant.name] = message.place;
    round.grants.push_back(grant);
    std::erase_if(round.missing, [&grant](const TaskDemand& task) {
      return task.name == grant.name;
    });
  }
  AskNext(context, message.hold);
}

void ExpireReservations(Context& context) {
  std::vector<HoldId> expired;
  for (const auto& [id, round] : context.state.jobs.reservations) {
    if (round.until <= context.now) {
      expired.push_back(id);
    }
  }
  for (const HoldId& id : expired) {
    const Reservation round = std::move(context.state.jobs.reservations.at(id));
    context.state.jobs.reservations.erase(id);
    Abort(context, round);
  }
}

void DropReservations(Context& context, const ShardId& home) {
  std::erase_if(context.state.jobs.reservations, [&home](const auto& entry) {
    return entry.second.home == home;
  });
}

}  // namespace basilspread::internal::jobs
