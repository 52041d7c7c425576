#include "internal/step_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/leadership.h"
#include "internal/step_advice.h"
#include "internal/step_offers.h"
#include "internal/step_order.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"

namespace basilspread::internal::step_placement {
namespace {

using step_offers::Offer;
using step_offers::Round;
using step_offers::Tickets;

constexpr std::string_view kPart = "placement";
/// Events that come close together share a pass.
constexpr Duration kPassDelay = std::chrono::milliseconds(3);
/// What events do not tell (tickets and avoidances end by time, workers that
/// nobody has asked about have room) is found by a sweep over part of the
/// queue.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
constexpr std::size_t kSwept = 32;
/// Submissions that one pass looks at, so that no pass takes long; the rest
/// follows in the next.
constexpr std::size_t kMaxLooked = 64;
/// Submissions that a free line of the advisor wakes.
constexpr std::size_t kWokenSeekers = 4;
/// A gang whose members are not all placed after this is broken up: half of
/// the shortest time that a member waits for the others.
constexpr Duration kGangPatience = std::chrono::milliseconds(1500);

bool IsPlaceable(const Context& context, const Submission& submission) {
  return submission.accepted &&
         (!submission.inherited || fleet::MayStartInherited(context));
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

/// The rack of the data first, then of the step's other tasks, then the rack
/// that holds most, then the worker with the least room left over, so that
/// large tasks find whole workers.
void SortOffers(Context& context, const Round& round,
                std::vector<Offer>& offers) {
  std::map<RackName, std::uint32_t> in_rack;
  for (const auto& [name, count] : round.placed) {
    if (const FleetWorker* worker = fleet::Find(context, name)) {
      in_rack[worker->entry.rack] += count;
    }
  }
  std::map<RackName, std::uint32_t> room_in_rack;
  if (round.spec.rack_local) {
    for (const Offer& offer : offers) {
      room_in_rack[offer.worker->entry.rack] += offer.room;
    }
  }
  const auto key = [&](const Offer& offer) {
    const FleetWorker& worker = *offer.worker;
    const RackName& rack = worker.entry.rack;
    const bool is_far =
        !round.spec.data_rack.value.empty() && rack != round.spec.data_rack;
    const bool is_apart = round.spec.rack_local && !in_rack.contains(rack);
    const auto together = room_in_rack.find(rack);
    const std::int64_t rack_room =
        together == room_in_rack.end() ? 0 : together->second;
    return std::make_tuple(
        is_far, is_apart, -rack_room, rack.value,
        (worker.entry.capacity - worker.reserved).cpu_millicores,
        worker.number);
  };
  if (!round.spec.rack_local) {
    // Without a wish for one rack its name does not matter.
    std::sort(offers.begin(), offers.end(),
              [&](const Offer& left, const Offer& right) {
                const auto a = key(left);
                const auto b = key(right);
                return std::tie(std::get<0>(a), std::get<4>(a),
                                std::get<5>(a)) <
                       std::tie(std::get<0>(b), std::get<4>(b), std::get<5>(b));
              });
    return;
  }
  std::sort(offers.begin(), offers.end(),
            [&key](const Offer& left, const Offer& right) {
              return key(left) < key(right);
            });
}

/// The first worker with room, but for those where the task has failed if
/// there is another.
Offer* ChooseOffer(const RunState& task, std::vector<Offer>& offers) {
  Offer* second_best = nullptr;
  for (Offer& offer : offers) {
    if (offer.room == 0) {
      continue;
    }
    if (!task.failed_on.contains(offer.worker->entry.name)) {
      return &offer;
    }
    if (second_best == nullptr) {
      second_best = &offer;
    }
  }
  return second_best;
}

/// Places what fits. Of a new gang: all or nothing.
void Place(Context& context, Round& round, std::vector<Offer> offers) {
  const bool is_new_gang = step_offers::IsNewGang(round);
  if (offers.empty() ||
      (is_new_gang && step_offers::TotalRoom(offers) < round.waiting.size())) {
    return;
  }
  if (is_new_gang) {
    ShareCheckpoint(round);
  }
  SortOffers(context, round, offers);
  const Attempt gang_run = NextRun(round, round.step.tasks.front());
  std::vector<std::uint32_t> left;
  const std::vector<std::uint32_t> waiting = round.waiting;
  for (const std::uint32_t index : waiting) {
    Offer* offer = ChooseOffer(round.step.tasks[index], offers);
    if (offer == nullptr) {
      left.push_back(index);
      continue;
    }
    --offer->room;
    const Attempt run =
        round.spec.gang ? gang_run : NextRun(round, round.step.tasks[index]);
    StartTask(context, round, *offer->worker, index, run);
  }
  NotePlaced(context, round, waiting.size() - left.size(), left.size());
  if (is_new_gang) {
    round.step.gang_began = context.now;
  }
  round.waiting = std::move(left);
}

std::vector<Offer> AllRoom(Context& context, const Round& round) {
  std::vector<Offer> offers;
  std::uint32_t room = 0;
  step_offers::VisitRoom(context, round, [&](const Offer& offer) {
    offers.push_back(offer);
    room += offer.room;
    return room < round.waiting.size();
  });
  return offers;
}

/// Breaks up a gang of which some members have waited too long for the others.
void CheckGang(Context& context, Submission& submission, const Round& round) {
  const bool is_partial = round.spec.gang && round.step.gang_began;
  if (is_partial && !round.step.gang_broken &&
      context.now >= *round.step.gang_began + kGangPatience) {
    submission_progress::BreakGang(context, submission, round.index);
  }
}

/// Returns whether tasks of the step still wait.
bool PlaceStep(Context& context, Submission& submission, std::uint32_t index) {
  Round round = step_offers::MakeRound(submission, index);
  if (round.waiting.empty()) {
    return false;
  }
  CheckGang(context, submission, round);
  if (round.step.gang_broken) {
    return true;
  }
  const bool needs_advice = submission.policy.advice.has_value();
  if (IsPlaceable(context, submission)) {
    Place(context, round,
          needs_advice ? step_offers::Allowed(context, round, Tickets::kValid)
                       : AllRoom(context, round));
  }
  if (needs_advice && !round.waiting.empty()) {
    step_advice::Seek(context, round);
  }
  if (round.spec.gang && round.step.gang_began && !round.waiting.empty()) {
    context.state.submissions.partial_gangs.insert(submission.id);
  }
  return !round.waiting.empty();
}

/// Returns whether the submission is to stay in the queue.
bool PlaceSubmission(Context& context, Submission& submission) {
  if (!submission.spec || HasEnded(submission.state)) {
    return false;
  }
  bool waits = false;
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    if (submission_runs::IsReady(submission, i)) {
      waits = PlaceStep(context, submission, i) || waits;
    }
  }
  return waits;
}

void WakeById(Context& context, const SubmissionId& id) {
  if (Submission* submission = submission_progress::Find(context, id)) {
    Wake(context, *submission);
  }
}

/// Wakes the most urgent submissions and, in turn, all others.
void Sweep(Context& context) {
  SubmissionsState& state = context.state.submissions;
  if (context.now < state.next_sweep) {
    return;
  }
  state.next_sweep = context.now + kSweepInterval;
  for (const SubmissionId& id : std::exchange(state.partial_gangs, {})) {
    WakeById(context, id);
  }
  std::size_t count = 0;
  for (const auto& [rank, id] : state.queue) {
    if (count++ == kSwept) {
      break;
    }
    WakeById(context, id);
  }
  auto next = state.queue.upper_bound(state.last_swept);
  for (std::size_t i = 0; i < std::min(kSwept, state.queue.size()); ++i) {
    if (next == state.queue.end()) {
      next = state.queue.begin();
    }
    state.last_swept = *next;
    WakeById(context, (next++)->second);
  }
}

/// The most urgent of those that are due; the others stay due.
std::vector<SubmissionPtr> TakeDue(Context& context) {
  SubmissionsState& state = context.state.submissions;
  std::vector<SubmissionPtr> due;
  for (const SubmissionId& id : std::exchange(state.due, {})) {
    if (Submission* submission = submission_progress::Find(context, id)) {
      submission->is_due = false;
      if (submission->queued_as) {
        due.emplace_back(submission);
      }
    }
  }
  std::sort(due.begin(), due.end(),
            [](const SubmissionPtr& left, const SubmissionPtr& right) {
              return std::tie(*left->queued_as, left->id) <
                     std::tie(*right->queued_as, right->id);
            });
  while (due.size() > kMaxLooked) {
    Wake(context, *due.back());
    due.pop_back();
  }
  return due;
}

void CountLooked(Context& context, std::size_t submissions,
                 std::uint64_t workers) {
  LoadWindow& load = context.state.load.now;
  ++load.passes;
  load.submissions_looked_at += submissions;
  context.Count(Metric::kSubmissionsLookedAt, "",
                static_cast<double>(submissions));
  context.Count(Metric::kWorkersLookedAt, "", static_cast<double>(workers));
}

}  // namespace

void Request(Context& context) {
  SubmissionsState& state = context.state.submissions;
  if (!state.placement_due && leadership::IsLeading(context)) {
    state.placement_due = true;
    context.ArmIn(TimerKind::kPlacement, kPassDelay);
  }
}

void Wake(Context& context, Submission& submission) {
  if (!submission.queued_as || submission.is_due) {
    return;
  }
  submission.is_due = true;
  context.state.submissions.due.push_back(submission.id);
  Request(context);
}

void OnRoom(Context& context, FleetWorker& worker) {
  std::erase_if(worker.waiting_submissions, [&context](const SubmissionId& id) {
    Submission* submission = submission_progress::Find(context, id);
    if (submission == nullptr || HasEnded(submission->state)) {
      return true;
    }
    Wake(context, *submission);
    return false;
  });
}

void OnLineFree(Context& context) {
  SubmissionsState& state = context.state.submissions;
  for (std::size_t i = 0; i < kWokenSeekers && !state.seeking.empty(); ++i) {
    WakeById(context, state.seeking.begin()->second);
    state.seeking.erase(state.seeking.begin());
  }
}

void OnTimer(Context& context) {
  SubmissionsState& state = context.state.submissions;
  state.placement_due = false;
  if (!leadership::IsLeading(context)) {
    return;
  }
  step_order::RefreshQueue(context);
  Sweep(context);
  const std::uint64_t before = context.state.load.now.workers_looked_at;
  const std::vector<SubmissionPtr> due = TakeDue(context);
  for (const SubmissionPtr& submission : due) {
    if (!PlaceSubmission(context, *submission)) {
      step_order::Dequeue(context, *submission);
      gang_claims::Drop(context, submission->id);
    }
  }
  CountLooked(context, due.size(),
              context.state.load.now.workers_looked_at - before);
  if (!state.queue.empty() && !state.placement_due) {
    context.ArmIn(TimerKind::kPlacement, kSweepInterval);
  }
}

}  // namespace basilspread::internal::step_placement
