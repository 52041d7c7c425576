#include "internal/step_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "admission/queue_ahead.h"
#include "attempts/numbering.h"
#include "fair_order/wake.h"
#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/leadership.h"
#include "internal/leadership_proof.h"
#include "internal/long_running.h"
#include "internal/step_advice.h"
#include "internal/step_offers.h"
#include "internal/step_order.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"
#include "quota/ledger.h"
#include "takeover_wait/inherited_work.h"

namespace basilspread::internal::step_placement {
namespace {

using step_offers::Offer;
using step_offers::PendingStep;
using step_offers::Tickets;

constexpr std::string_view kPart = "placement";
/// Batches events that arrive close together into one pass.
constexpr Duration kPassDelay = std::chrono::milliseconds(3);
/// Interval of the sweep over part of the queue, which finds changes without an
/// event: tickets and ejections that expire, and free capacity on workers that
/// have not been queried.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
constexpr std::size_t kSweepSize = 32;
/// Bounds the duration of one pass; the remaining submissions follow in the
/// next.
constexpr std::size_t kMaxPerPass = 64;
/// Submissions that are woken when an advice query completes.
constexpr std::size_t kMaxWokenForAdvice = 4;
/// A gang with unplaced members is stopped after this: half of the shortest
/// time that a member waits for the others.
constexpr Duration kGangAssemblyTimeout = std::chrono::milliseconds(1500);

bool IsPlaceable(const Context& context, const Submission& submission,
                 std::uint32_t step) {
  return submission.accepted &&
         takeover_wait::MayStart(context, submission, step);
}

Attempt NextRun(const Context& context, const PendingStep& pending,
                const RunState& task) {
  if (!pending.spec.gang) {
    return attempts::NextRun(context, pending.submission, task.highest_run);
  }
  // All members of a gang share one run number, also those that start later.
  if (pending.step.gang_started_at) {
    return submission_runs::CurrentRunOfGang(pending.step);
  }
  Attempt highest;
  for (const RunState& member : pending.step.tasks) {
    highest = std::max(highest, member.highest_run);
  }
  return attempts::NextRun(context, pending.submission, highest);
}

void StartTask(Context& context, PendingStep& pending, FleetWorker& worker,
               std::uint32_t index, Attempt run) {
  RunState& task = pending.step.tasks[index];
  const RunName name{{pending.submission.id, pending.index, index}, run};
  submission_runs::BeginRun(pending.submission, name, worker.entry.name);
  ++pending.placed[worker.entry.name];
  const auto ticket = pending.step.allowed.find(worker.entry.name);
  fleet::RunOrder order;
  order.name = name;
  order.spec = pending.submission.spec;
  order.reservation =
      submission_runs::ReservationOf(pending.submission, pending.index);
  order.checkpoint = task.checkpoint;
  order.ticket =
      ticket == pending.step.allowed.end() ? "" : ticket->second.ticket;
  fleet::StartRunOn(context, worker, std::move(order));
}

/// Gives all members of a gang the latest checkpoint.
void ShareCheckpoint(PendingStep& pending) {
  std::string checkpoint;
  for (const RunState& member : pending.step.tasks) {
    checkpoint = std::max(checkpoint, member.checkpoint);
  }
  for (RunState& member : pending.step.tasks) {
    member.checkpoint = checkpoint;
  }
}

void RecordPlaced(Context& context, const PendingStep& pending,
                  std::size_t placed, std::size_t left, std::size_t restarts) {
  if (placed == 0) {
    return;
  }
  const Submission& submission = pending.submission;
  std::string workers;
  for (const auto& [worker, count] : pending.placed) {
    workers += (workers.empty() ? "" : " ") + worker.value;
  }
  context.state.load.now.tasks_placed += placed;
  queue_ahead::OnPlaced(context, submission, pending.index, placed);
  context.Count(Metric::kRunsStarted, submission.route.value,
                static_cast<double>(placed));
  context.Log(
      LogLevel::kInfo, kPart, "Placed tasks on workers.",
      {{"id", submission.id.value},
       {"step", pending.index},
       {"tasks", placed},
       {"left", left},
       {"restarts", restarts},
       {"inherited", submission.inherited},
       {"epoch", context.state.submissions.leadership.epoch.value},
       {"confirmed_ms", leadership::TimeSinceConfirmed(context)},
       {"proven_ms", leadership_proof::TimeSinceProven(context)},
       {"workers", workers},
       {"age_ms", context.now - submission.arrived},
       {"slack_ms",
        step_order::RankOf(context, submission).latest_start - context.now},
       {"queue", context.state.submissions.queue.size()}});
}

/// Sorts the offers: first the rack of the step's data; then, for a rack-local
/// step, racks of its other tasks and the rack with the most room; then the
/// worker with the least free capacity, so that idle workers stay available for
/// large tasks.
void SortOffers(Context& context, const PendingStep& pending,
                std::vector<Offer>& offers) {
  std::map<RackName, std::uint32_t> in_rack;
  for (const auto& [name, count] : pending.placed) {
    if (const FleetWorker* worker = fleet::Find(context, name)) {
      in_rack[worker->entry.rack] += count;
    }
  }
  std::map<RackName, std::uint32_t> room_in_rack;
  if (pending.spec.rack_local) {
    for (const Offer& offer : offers) {
      room_in_rack[offer.worker->entry.rack] += offer.room;
    }
  }
  const auto key = [&](const Offer& offer) {
    const FleetWorker& worker = *offer.worker;
    const RackName& rack = worker.entry.rack;
    const bool is_far =
        !pending.spec.data_rack.value.empty() && rack != pending.spec.data_rack;
    const bool is_apart = pending.spec.rack_local && !in_rack.contains(rack);
    const auto together = room_in_rack.find(rack);
    const std::int64_t rack_room =
        together == room_in_rack.end() ? 0 : together->second;
    return std::make_tuple(
        is_far, is_apart, -rack_room, rack.value,
        (worker.entry.capacity - worker.reserved).cpu_millicores,
        worker.number);
  };
  if (!pending.spec.rack_local) {
    // The rack's room and name count only for a rack-local step.
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

/// The first worker with room where the task has not failed, else the first
/// with room; null when there is none.
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

/// Places the waiting tasks that fit; a new gang as a whole or not at all.
void Place(Context& context, PendingStep& pending, std::vector<Offer> offers) {
  const bool is_new_gang = step_offers::IsNewGang(pending);
  if (offers.empty() || (is_new_gang && step_offers::TotalRoom(offers) <
                                            pending.waiting.size())) {
    return;
  }
  if (is_new_gang) {
    ShareCheckpoint(pending);
  }
  SortOffers(context, pending, offers);
  const Attempt gang_run =
      NextRun(context, pending, pending.step.tasks.front());
  std::vector<std::uint32_t> left;
  const std::vector<std::uint32_t> waiting = pending.waiting;
  std::size_t restarts = 0;
  for (const std::uint32_t index : waiting) {
    Offer* offer = ChooseOffer(pending.step.tasks[index], offers);
    if (offer == nullptr) {
      left.push_back(index);
      continue;
    }
    --offer->room;
    FleetWorker& worker = *offer->worker;
    if (pending.spec.long_running) {
      // Spreads the tasks, so that the loss of a worker takes few of them down.
      const auto used = offers.begin() + (offer - offers.data());
      std::rotate(used, used + 1, offers.end());
    }
    const Attempt run = pending.spec.gang ? gang_run
                                          : NextRun(context, pending,
                                                    pending.step.tasks[index]);
    restarts += pending.step.tasks[index].highest_run.value > 0 ? 1 : 0;
    StartTask(context, pending, worker, index, run);
  }
  RecordPlaced(context, pending, waiting.size() - left.size(), left.size(),
               restarts);
  if (is_new_gang) {
    pending.step.gang_started_at = context.now;
  }
  pending.waiting = std::move(left);
}

std::vector<Offer> FindOffers(Context& context, const PendingStep& pending) {
  std::vector<Offer> offers;
  std::uint32_t room = 0;
  step_offers::VisitRoom(context, pending, [&](const Offer& offer) {
    offers.push_back(offer);
    room += pending.spec.long_running ? 1 : offer.room;
    return room < pending.waiting.size();
  });
  return offers;
}

/// Stops a gang whose placed members have waited too long for the others, or
/// that another leader started: a member that waits may have had its run.
void CheckGang(Context& context, Submission& submission,
               const PendingStep& pending) {
  if (!pending.spec.gang || !pending.step.gang_started_at) {
    return;
  }
  const bool is_late =
      context.now >= *pending.step.gang_started_at + kGangAssemblyTimeout;
  const bool may_have_run =
      IsPlaceable(context, submission, pending.index) &&
      attempts::IsOfEarlierLeader(
          context, submission, submission_runs::CurrentRunOfGang(pending.step));
  if (is_late || may_have_run) {
    submission_progress::BreakGang(context, submission, pending.index);
  }
}

/// Why tasks of the step wait after a pass over it.
WaitReason ReasonOf(Context& context, const Submission& submission,
                    const PendingStep& pending) {
  if (!submission.accepted) {
    return WaitReason::kAcceptance;
  }
  if (!IsPlaceable(context, submission, pending.index)) {
    return WaitReason::kInherited;
  }
  if (pending.waiting.empty() && pending.is_limited_by_quota) {
    return WaitReason::kQuota;
  }
  if (pending.waiting.empty() && pending.awaits_outcome) {
    return WaitReason::kUnknownOutcome;
  }
  if (pending.waiting.empty()) {
    return pending.has_delayed ? WaitReason::kRestartDelay
                               : WaitReason::kNotConsidered;
  }
  if (!pending.step.advice_queries.empty()) {
    return WaitReason::kAdvice;
  }
  const auto& awaiting = context.state.submissions.awaiting_advisor;
  if (submission.queue_rank &&
      awaiting.contains({*submission.queue_rank, submission.id})) {
    return WaitReason::kAdvisorBusy;
  }
  if (!step_offers::IsNewGang(pending)) {
    return WaitReason::kRoom;
  }
  return step_offers::FitsPool(context, pending) ? WaitReason::kGang
                                                 : WaitReason::kBeyondPool;
}

/// Returns whether tasks of the step still wait.
bool PlaceStep(Context& context, Submission& submission, std::uint32_t index) {
  PendingStep pending =
      step_offers::MakePendingStep(submission, index, context.now);
  if (pending.waiting.empty() && !pending.awaits_outcome) {
    return pending.has_delayed;
  }
  CheckGang(context, submission, pending);
  if (pending.step.gang_broken) {
    return true;
  }
  if (pending.waiting.empty()) {
    pending.step.wait_reason = WaitReason::kUnknownOutcome;
    gang_claims::ReleaseClaims(context, submission.id);
    return true;
  }
  if (!leadership_proof::MayStart(context)) {
    pending.step.wait_reason = WaitReason::kUnproven;
    return true;
  }
  if (!quota::Limit(context, pending)) {
    pending.step.wait_reason =
        pending.is_beyond_quota ? WaitReason::kBeyondQuota : WaitReason::kQuota;
    gang_claims::ReleaseClaims(context, submission.id);
    return true;
  }
  const bool needs_advice = submission.policy.advice.has_value();
  if (IsPlaceable(context, submission, index)) {
    Place(context, pending,
          needs_advice
              ? step_offers::AllowedOffers(context, pending, Tickets::kValid)
              : FindOffers(context, pending));
  }
  if (needs_advice && !pending.waiting.empty()) {
    step_advice::RequestAdvice(context, pending);
  }
  if (pending.spec.gang && pending.step.gang_started_at &&
      !pending.waiting.empty()) {
    context.state.submissions.partial_gangs.insert(submission.id);
  }
  pending.step.wait_reason = ReasonOf(context, submission, pending);
  return !pending.waiting.empty() || pending.has_delayed ||
         pending.is_limited_by_quota || pending.awaits_outcome;
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
      if (long_running::IsLongRunning(submission, i) &&
          leadership_proof::MayStart(context)) {
        waits = long_running::MoveOffDraining(context, submission, i) || waits;
      }
    }
  }
  return waits;
}

void WakeById(Context& context, const SubmissionId& id) {
  if (Submission* submission = submission_progress::Find(context, id)) {
    Wake(context, *submission);
  }
}

/// Wakes the most urgent submissions and, in rotation, all others.
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
    if (count++ == kSweepSize) {
      break;
    }
    WakeById(context, id);
  }
  auto next = state.queue.upper_bound(state.last_swept);
  for (std::size_t i = 0; i < std::min(kSweepSize, state.queue.size()); ++i) {
    if (next == state.queue.end()) {
      next = state.queue.begin();
    }
    state.last_swept = *next;
    WakeById(context, (next++)->second);
  }
}

/// Takes the most urgent due submissions; the others stay due.
std::vector<SubmissionPtr> TakeDue(Context& context) {
  SubmissionsState& state = context.state.submissions;
  std::vector<SubmissionPtr> due;
  for (const SubmissionId& id : std::exchange(state.due, {})) {
    if (Submission* submission = submission_progress::Find(context, id)) {
      submission->is_due = false;
      if (submission->queue_rank) {
        due.emplace_back(submission);
      }
    }
  }
  std::sort(due.begin(), due.end(),
            [](const SubmissionPtr& left, const SubmissionPtr& right) {
              return std::tie(*left->queue_rank, left->id) <
                     std::tie(*right->queue_rank, right->id);
            });
  while (due.size() > kMaxPerPass) {
    Wake(context, *due.back());
    due.pop_back();
  }
  return due;
}

void CountConsidered(Context& context, std::size_t submissions,
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
  if (!submission.queue_rank || submission.is_due) {
    return;
  }
  submission.is_due = true;
  context.state.submissions.due.push_back(submission.id);
  Request(context);
}

void WakeAll(Context& context) {
  const auto queue = context.state.submissions.queue;
  for (const auto& [rank, id] : queue) {
    WakeById(context, id);
  }
}

void OnCapacityFreed(Context& context, FleetWorker& worker) {
  std::erase_if(worker.waiting_submissions, [&context](const SubmissionId& id) {
    Submission* submission = submission_progress::Find(context, id);
    if (submission == nullptr || HasEnded(submission->state)) {
      return true;
    }
    Wake(context, *submission);
    return false;
  });
  fair_order::WakeMostUrgent(context, worker.entry.pool);
}

void OnAskerAvailable(Context& context) {
  SubmissionsState& state = context.state.submissions;
  for (std::size_t i = 0;
       i < kMaxWokenForAdvice && !state.awaiting_advisor.empty(); ++i) {
    WakeById(context, state.awaiting_advisor.begin()->second);
    state.awaiting_advisor.erase(state.awaiting_advisor.begin());
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
    if (PlaceSubmission(context, *submission)) {
      queue_ahead::Update(context, *submission);
    } else {
      step_order::Dequeue(context, *submission);
      gang_claims::ReleaseClaims(context, submission->id);
    }
  }
  CountConsidered(context, due.size(),
                  context.state.load.now.workers_looked_at - before);
  if (!state.queue.empty() && !state.placement_due) {
    context.ArmIn(TimerKind::kPlacement, kSweepInterval);
  }
}

}  // namespace basilspread::internal::step_placement
