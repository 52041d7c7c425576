#include "internal/step_placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "internal/fleet.h"
#include "internal/leadership.h"
#include "internal/step_advice.h"
#include "internal/step_order.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"

namespace basilspread::internal::step_placement {
namespace {

using step_advice::Candidate;

constexpr std::string_view kPart = "placement";
/// Events that come close together share a pass over the queue.
constexpr Duration kPassDelay = std::chrono::milliseconds(3);
/// Another pass is due this long after one that left tasks waiting: tickets
/// and avoidances end by time alone.
constexpr Duration kNextPass = std::chrono::milliseconds(50);
/// A gang whose members are not all placed after this is broken up: half of
/// the shortest time that a member waits for the others.
constexpr Duration kGangPatience = std::chrono::milliseconds(1500);
/// Submissions that one pass looks at; what waits behind them has the most
/// slack, and the room goes to those before.
constexpr std::size_t kMaxLooked = 96;

/// What a step still needs, and the workers that may give it.
struct Round {
  Submission& submission;
  std::uint32_t index;
  const StepSpec& spec;
  StepState& step;
  std::vector<std::uint32_t> waiting;
  /// Tasks of the step that a worker has.
  std::map<HostName, std::uint32_t> placed;
};

bool IsPlaceable(const Context& context, const Submission& submission) {
  return submission.accepted &&
         (!submission.inherited || fleet::MayStartInherited(context));
}

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

/// Tasks of the step that fit on the worker now, at most those that wait.
std::uint32_t RoomOn(const Context& context, const Round& round,
                     const FleetWorker& worker) {
  if (!Suits(round, worker) ||
      !fleet::HasRoom(context, worker, round.spec.demand)) {
    return 0;
  }
  std::uint32_t limit = static_cast<std::uint32_t>(round.waiting.size());
  if (round.spec.max_per_worker > 0) {
    const std::uint32_t placed = PlacedOn(round, worker.entry.name);
    limit = std::min(limit, round.spec.max_per_worker -
                                std::min(placed, round.spec.max_per_worker));
  }
  Resources free = worker.entry.capacity - worker.reserved;
  std::uint32_t count = 0;
  while (count < limit && Fits(round.spec.demand, free)) {
    free -= round.spec.demand;
    ++count;
  }
  return count;
}

std::vector<Candidate> Candidates(Context& context, const Round& round,
                                  bool allowed_only) {
  std::vector<Candidate> candidates;
  context.state.load.now.workers_looked_at +=
      context.state.submissions.fleet.workers.size();
  for (const auto& [name, worker] : context.state.submissions.fleet.workers) {
    const bool is_excluded =
        allowed_only ? !step_advice::IsAllowed(context, round.step, name)
                     : round.step.forbidden.contains(name);
    if (is_excluded) {
      continue;
    }
    const std::uint32_t room = RoomOn(context, round, worker);
    if (room > 0) {
      candidates.push_back({&worker, room});
    }
  }
  return candidates;
}

std::uint32_t TotalRoom(const std::vector<Candidate>& candidates) {
  std::uint32_t total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.room;
  }
  return total;
}

/// Lower is better: the rack of the data, then of the other tasks, then the
/// least processor time left over, so that large tasks find whole workers.
std::int64_t CostOf(const Round& round, const FleetWorker& worker,
                    const std::map<RackName, std::uint32_t>& racks) {
  constexpr std::int64_t kOtherRack = 1'000'000'000;
  std::int64_t cost = (worker.entry.capacity - worker.reserved).cpu_millicores;
  if (!round.spec.data_rack.value.empty() &&
      worker.entry.rack != round.spec.data_rack) {
    cost += kOtherRack;
  }
  if (round.spec.rack_local) {
    const auto rack = racks.find(worker.entry.rack);
    cost += rack == racks.end() ? kOtherRack : 0;
  }
  return cost;
}

std::map<RackName, std::uint32_t> RacksOf(Context& context,
                                          const Round& round) {
  std::map<RackName, std::uint32_t> racks;
  for (const auto& [name, count] : round.placed) {
    if (const FleetWorker* worker = fleet::Find(context, name)) {
      racks[worker->entry.rack] += count;
    }
  }
  return racks;
}

FleetWorker* ChooseWorker(Context& context, const Round& round,
                          const RunState& task,
                          const std::vector<Candidate>& candidates) {
  /// Above all else that makes a worker less suitable.
  constexpr std::int64_t kFailedThere = 4'000'000'000;
  const auto racks = RacksOf(context, round);
  FleetWorker* best = nullptr;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  for (const Candidate& candidate : candidates) {
    if (RoomOn(context, round, *candidate.worker) == 0) {
      continue;
    }
    std::int64_t cost = CostOf(round, *candidate.worker, racks);
    if (task.failed_on.contains(candidate.worker->entry.name)) {
      cost += kFailedThere;
    }
    if (cost < best_cost) {
      best = fleet::Find(context, candidate.worker->entry.name);
      best_cost = cost;
    }
  }
  return best;
}

Attempt NextRun(const Round& round, const RunState& task) {
  if (!round.spec.gang) {
    return Attempt{task.run.value + 1};
  }
  // Members share the number of their run; one that joins late takes that of
  // the gang.
  Attempt highest;
  for (const RunState& member : round.step.tasks) {
    highest = std::max(highest, member.run);
  }
  return round.step.gang_began ? highest : Attempt{highest.value + 1};
}

void StartTask(Context& context, Round& round, FleetWorker& worker,
               std::uint32_t index, Attempt run) {
  RunState& task = round.step.tasks[index];
  const RunName name{{round.submission.id, round.index, index}, run};
  submission_runs::BeginRun(round.submission, name, worker.entry.name);
  ++round.placed[worker.entry.name];
  const auto ticket = round.step.allowed.find(worker.entry.name);
  fleet::RunOrder order;
  order.name = name;
  order.spec = round.submission.spec;
  order.demand = round.spec.demand;
  order.checkpoint = task.checkpoint;
  order.ticket =
      ticket == round.step.allowed.end() ? "" : ticket->second.ticket;
  fleet::StartRunOn(context, worker, std::move(order));
}

/// All members resume from one checkpoint.
void ShareCheckpoint(Round& round) {
  std::string checkpoint;
  for (const RunState& member : round.step.tasks) {
    checkpoint = std::max(checkpoint, member.checkpoint);
  }
  for (RunState& member : round.step.tasks) {
    member.checkpoint = checkpoint;
  }
}

void NotePlaced(Context& context, const Round& round, std::size_t placed,
                std::size_t left) {
  if (placed == 0) {
    return;
  }
  const Submission& submission = round.submission;
  std::string workers;
  for (const auto& [worker, count] : round.placed) {
    workers += (workers.empty() ? "" : " ") + worker.value;
  }
  context.state.load.now.tasks_placed += placed;
  context.Count(Metric::kRunsStarted, submission.route.value,
                static_cast<double>(placed));
  context.Log(
      LogLevel::kInfo, kPart, "Tasks were placed.",
      {{"id", submission.id.value},
       {"step", round.index},
       {"tasks", placed},
       {"left", left},
       {"workers", workers},
       {"age_ms", context.now - submission.arrived},
       {"slack_ms",
        step_order::RankOf(context, submission).latest_start - context.now},
       {"queue", context.state.submissions.queue.size()}});
}

/// Places what fits. Of a gang that has not begun: all or nothing.
void Place(Context& context, Round& round,
           const std::vector<Candidate>& candidates) {
  const bool is_new_gang = round.spec.gang && !round.step.gang_began;
  if (is_new_gang && TotalRoom(candidates) < round.waiting.size()) {
    return;
  }
  if (is_new_gang) {
    ShareCheckpoint(round);
  }
  const Attempt gang_run = NextRun(round, round.step.tasks.front());
  std::vector<std::uint32_t> left;
  const std::vector<std::uint32_t> waiting = round.waiting;
  for (const std::uint32_t index : waiting) {
    FleetWorker* worker =
        ChooseWorker(context, round, round.step.tasks[index], candidates);
    if (worker == nullptr) {
      left.push_back(index);
      continue;
    }
    const Attempt run =
        round.spec.gang ? gang_run : NextRun(round, round.step.tasks[index]);
    StartTask(context, round, *worker, index, run);
  }
  NotePlaced(context, round, waiting.size() - left.size(), left.size());
  if (is_new_gang) {
    round.step.gang_began = context.now;
  }
  round.waiting = std::move(left);
}

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

/// What all usable workers have free together.
Resources TotalFree(const Context& context) {
  Resources total;
  for (const auto& [name, worker] : context.state.submissions.fleet.workers) {
    if (fleet::HasRoom(context, worker, Resources{})) {
      total += worker.entry.capacity - worker.reserved;
    }
  }
  return total;
}

Resources Times(const Resources& demand, std::size_t count) {
  const auto factor = static_cast<std::int64_t>(count);
  return {demand.cpu_millicores * factor, demand.memory_mebibytes * factor,
          demand.accelerators * factor};
}

/// Asks for advice if the room that the steps ahead leave is enough, and
/// counts that room as taken. Without that, every step that waits would ask
/// again for the same room whenever its tickets expire, and the advisor's
/// line would grow without end.
void AskForRoom(Context& context, Round& round, Resources& free) {
  const bool is_new_gang = round.spec.gang && !round.step.gang_began;
  const std::size_t needed = round.waiting.size();
  const std::size_t least = is_new_gang ? needed : 1;
  const bool has_room = Fits(Times(round.spec.demand, least), free);
  free -= Times(round.spec.demand, needed);
  if (!has_room || round.step.question != 0) {
    return;
  }
  std::vector<Candidate> candidates = Candidates(context, round, false);
  if (is_new_gang && TotalRoom(candidates) < needed) {
    return;
  }
  step_advice::Ask(context, round.submission, round.index,
                   std::move(candidates), static_cast<std::uint32_t>(needed));
}

/// Returns whether tasks of the step still wait. `free` is the room that the
/// steps ahead in the queue leave.
bool PlaceStep(Context& context, Submission& submission, std::uint32_t index,
               Resources& free) {
  Round round = MakeRound(submission, index);
  if (round.waiting.empty()) {
    return false;
  }
  const bool is_partial_gang = round.spec.gang && round.step.gang_began;
  if (is_partial_gang && !round.step.gang_broken &&
      context.now >= *round.step.gang_began + kGangPatience) {
    submission_progress::BreakGang(context, submission, index);
  }
  if (round.step.gang_broken) {
    return true;
  }
  const bool needs_advice = submission.policy.advice.has_value();
  if (IsPlaceable(context, submission)) {
    Place(context, round, Candidates(context, round, needs_advice));
  }
  if (needs_advice && !round.waiting.empty()) {
    AskForRoom(context, round, free);
  }
  return !round.waiting.empty();
}

/// Returns whether the submission is to stay in the queue.
bool PlaceSubmission(Context& context, Submission& submission,
                     Resources& free) {
  if (!submission.spec || HasEnded(submission.state)) {
    return false;
  }
  bool waits = false;
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    if (submission_runs::IsReady(submission, i)) {
      waits = PlaceStep(context, submission, i, free) || waits;
    }
  }
  return waits;
}

}  // namespace

void Request(Context& context) {
  SubmissionsState& state = context.state.submissions;
  if (!state.placement_due && leadership::IsLeading(context)) {
    state.placement_due = true;
    context.ArmIn(TimerKind::kPlacement, kPassDelay);
  }
}

void OnTimer(Context& context) {
  SubmissionsState& state = context.state.submissions;
  state.placement_due = false;
  if (!leadership::IsLeading(context)) {
    return;
  }
  step_order::RefreshQueue(context);
  Resources free = TotalFree(context);
  std::vector<std::pair<QueueRank, SubmissionId>> looked;
  for (const auto& entry : state.queue) {
    if (looked.size() >= kMaxLooked) {
      break;
    }
    looked.push_back(entry);
  }
  LoadWindow& load = context.state.load.now;
  const std::uint64_t workers_before = load.workers_looked_at;
  ++load.passes;
  load.submissions_looked_at += looked.size();
  for (const auto& entry : looked) {
    Submission* submission = submission_progress::Find(context, entry.second);
    if (submission == nullptr) {
      state.queue.erase(entry);
    } else if (!PlaceSubmission(context, *submission, free)) {
      step_order::Dequeue(context, *submission);
    }
  }
  context.Count(Metric::kSubmissionsLookedAt, "",
                static_cast<double>(looked.size()));
  context.Count(Metric::kWorkersLookedAt, "",
                static_cast<double>(load.workers_looked_at - workers_before));
  if (!state.queue.empty() && !state.placement_due) {
    context.ArmIn(TimerKind::kPlacement, kNextPass);
  }
}

bool CanEverFit(const Context& context, const SubmissionSpec& spec,
                const PoolName& pool) {
  const auto& workers = context.state.submissions.fleet.workers;
  return std::all_of(
      spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
        return std::any_of(
            workers.begin(), workers.end(), [&](const auto& entry) {
              return entry.second.entry.pool == pool &&
                     Fits(step.demand, entry.second.entry.capacity);
            });
      });
}

}  // namespace basilspread::internal::step_placement
