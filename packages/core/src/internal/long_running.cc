#include "internal/long_running.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "internal/fleet.h"
#include "internal/step_advice.h"
#include "internal/step_offers.h"
#include "internal/submission_progress.h"
#include "internal/submission_runs.h"
#include "internal/work_log.h"
#include "internal/worker_ejection.h"

namespace basilspread::internal::long_running {
namespace {

using step_offers::Offer;
using step_offers::PendingStep;

constexpr std::string_view kPart = "long-running";
constexpr std::uint32_t kFullPercent = 100;
/// Delay of the next start after the second startup in a row that failed; it
/// doubles with each further one. The first failure is retried at once, since
/// it is more often the worker's fault.
constexpr Duration kFirstRestartDelay = std::chrono::milliseconds(100);
/// Well below the time after which callers count a task as abandoned.
constexpr Duration kMaxRestartDelay = std::chrono::milliseconds(1600);
constexpr std::uint32_t kMaxDoublings = 4;
/// Share of a pool that long-running tasks may reserve, in percent. They hold
/// their capacity until they are cancelled, so that the rest is what work that
/// ends runs on, and where the tasks of lost workers restart.
constexpr std::int64_t kMaxReservedPercent = 70;
constexpr std::int64_t kPercent = 100;
/// Capacity is freed by cancellations, which follow no pattern.
constexpr Duration kMinRetryAfter = std::chrono::seconds(4);
constexpr Duration kRetrySpread = std::chrono::seconds(4);

Resources LongRunningDemand(const SubmissionSpec& spec) {
  Resources demand;
  for (const StepSpec& step : spec.steps) {
    if (step.long_running) {
      demand += Times(step.demand, step.count);
    }
  }
  return demand;
}

/// What long-running tasks of the pool may reserve at most.
Resources ReservableCapacity(const Context& context, const PoolName& pool) {
  Resources capacity;
  for (const auto& [name, worker] : context.state.submissions.fleet.workers) {
    if (worker.entry.pool == pool && !worker.unlisted) {
      capacity += worker.entry.capacity;
    }
  }
  return {capacity.cpu_millicores * kMaxReservedPercent / kPercent,
          capacity.memory_mebibytes * kMaxReservedPercent / kPercent,
          capacity.accelerators * kMaxReservedPercent / kPercent};
}

Duration RestartDelay(std::uint32_t failed_startups) {
  if (failed_startups < 2) {
    return Duration::zero();
  }
  const std::uint32_t doublings = std::min(failed_startups - 2, kMaxDoublings);
  return std::min(kFirstRestartDelay * (1U << doublings), kMaxRestartDelay);
}

/// The submission of a run of a long-running task; null for other runs.
Submission* FindLongRunning(Context& context, const RunName& name) {
  Submission* submission =
      submission_progress::Find(context, name.task.submission);
  const bool is_found = submission != nullptr && submission->spec &&
                        name.task.step < submission->steps.size() &&
                        IsLongRunning(*submission, name.task.step);
  return is_found ? submission : nullptr;
}

/// Whether the task runs on a worker that drains and is not being stopped yet.
bool IsToMove(Context& context, const RunState& task) {
  if (task.phase != RunPhase::kRunning || task.stopping) {
    return false;
  }
  const FleetWorker* worker = fleet::Find(context, task.worker);
  return worker != nullptr && worker->entry.draining;
}

std::vector<Offer> FindOffers(Context& context, const PendingStep& pending) {
  if (pending.submission.policy.advice) {
    return step_offers::AllowedOffers(context, pending,
                                      step_offers::Tickets::kValid);
  }
  std::vector<Offer> offers;
  step_offers::VisitRoom(context, pending, [&](const Offer& offer) {
    offers.push_back(offer);
    return step_offers::TotalRoom(offers) < pending.waiting.size();
  });
  return offers;
}

void Move(Context& context, const PendingStep& pending, std::uint32_t index) {
  RunState& task = pending.step.tasks[index];
  const RunName name{{pending.submission.id, pending.index, index}, task.run};
  context.Log(LogLevel::kInfo, kPart,
              "Stopping a run on a draining worker; its task restarts "
              "elsewhere.",
              {{"run", ToString(name)},
               {"worker", task.worker.value},
               {"at_work", CountAtWork(pending.step)},
               {"tasks", pending.step.tasks.size()},
               {"max_unavailable", pending.spec.max_unavailable}});
  context.Count(Metric::kPreemptions, "draining");
  task.stopping = true;
  task.unavailable_since = task.unavailable_since.value_or(context.now);
  fleet::StopRunOn(context, *fleet::Find(context, task.worker), name);
}

}  // namespace

bool IsLongRunning(const Submission& submission, std::uint32_t step) {
  return submission.spec->steps[step].long_running;
}

bool HasLongRunning(const Submission& submission) {
  const auto& steps = submission.spec->steps;
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

bool FitsPool(const Context& context, const SubmissionSpec& spec,
              const PoolName& pool) {
  Resources demand = LongRunningDemand(spec);
  if (demand == Resources{} || !fleet::IsListed(context)) {
    // A new leader may not know the pool's capacity yet.
    return true;
  }
  for (const auto& [id, submission] : context.state.submissions.all) {
    if (submission->spec && !HasEnded(submission->state) &&
        submission->policy.pool == pool) {
      demand += LongRunningDemand(*submission->spec);
    }
  }
  return Fits(demand, ReservableCapacity(context, pool));
}

Duration RetryAfter(Context& context) {
  const auto spread = static_cast<std::int64_t>(context.state.random.NextBelow(
      static_cast<std::uint64_t>(kRetrySpread.count())));
  return kMinRetryAfter + Duration(spread);
}

bool IsAtWork(const RunState& task) {
  return task.phase == RunPhase::kRunning && task.has_reported_progress &&
         task.percent >= kFullPercent && !task.stopping;
}

std::uint32_t CountAtWork(const StepState& step) {
  return static_cast<std::uint32_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), IsAtWork));
}

void CountTasks(const Submission& submission, std::size_t& tasks,
                std::size_t& at_work) {
  for (std::uint32_t step = 0; step < submission.steps.size(); ++step) {
    if (IsLongRunning(submission, step)) {
      tasks += submission.steps[step].tasks.size();
      at_work += CountAtWork(submission.steps[step]);
    }
  }
}

std::uint32_t DisruptionsLeft(const StepSpec& spec, const StepState& step) {
  const auto tasks = static_cast<std::uint32_t>(step.tasks.size());
  const std::uint32_t unavailable = tasks - CountAtWork(step);
  return spec.max_unavailable - std::min(spec.max_unavailable, unavailable);
}

bool HasStartup(Context& context, const FleetWorker& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [&context](const auto& entry) {
        Submission* submission = FindLongRunning(context, entry.first);
        const RunState* task =
            submission == nullptr
                ? nullptr
                : submission_runs::FindRun(*submission, entry.first);
        return task != nullptr && !task->stopping && !IsAtWork(*task);
      });
}

void OnProgress(Context& context, const Submission& submission,
                FleetWorker& worker, RunState& task) {
  if (!IsAtWork(task)) {
    return;
  }
  if (task.failed_startups > 0 || worker.on_probation) {
    // A completed startup shows that the worker works, as a success does for
    // tasks that end.
    worker_ejection::OnSuccess(worker);
  }
  task.failed_startups = 0;
  if (const auto since = std::exchange(task.unavailable_since, std::nullopt)) {
    context.Observe(Metric::kUnavailableTime, context.now - *since,
                    submission.route.value);
  }
}

void OnEnded(Context& context, const Submission& submission,
             FleetWorker& worker, RunState& task, RunEnd end,
             bool was_at_work) {
  const bool ended_by_itself =
      end == RunEnd::kSucceeded || end == RunEnd::kFailed;
  if (ended_by_itself && !was_at_work) {
    ++task.failed_startups;
    task.start_not_before = context.now + RestartDelay(task.failed_startups);
    task.failed_on.insert(worker.entry.name);
    worker_ejection::OnFailure(context, worker, submission.id);
  }
  OnDown(context, submission, task, was_at_work);
}

void OnDown(Context& context, const Submission& submission, RunState& task,
            bool was_at_work) {
  if (was_at_work && !task.unavailable_since) {
    task.unavailable_since = context.now;
  }
  // The next leader continues the numbering of the runs.
  work_log::Change(context, submission.id);
}

void OnDraining(Context& context, const FleetWorker& worker) {
  for (const auto& [name, demand] : worker.runs) {
    if (Submission* submission = FindLongRunning(context, name)) {
      submission_progress::Enqueue(context, *submission);
    }
  }
}

bool MoveOffDraining(Context& context, Submission& submission,
                     std::uint32_t step) {
  PendingStep pending =
      step_offers::MakePendingStep(submission, step, context.now);
  pending.waiting.clear();
  for (std::uint32_t i = 0; i < pending.step.tasks.size(); ++i) {
    if (IsToMove(context, pending.step.tasks[i])) {
      pending.waiting.push_back(i);
    }
  }
  if (pending.waiting.empty()) {
    return false;
  }
  const std::uint32_t room =
      step_offers::TotalRoom(FindOffers(context, pending));
  if (room == 0) {
    if (submission.policy.advice) {
      step_advice::RequestAdvice(context, pending);
    }
    return true;
  }
  // The worker ends its runs when it leaves, so that a task may move although
  // the budget is zero, as long as all others are at work.
  const bool all_at_work =
      CountAtWork(pending.step) >= pending.step.tasks.size();
  const std::uint32_t allowed = std::max<std::uint32_t>(
      DisruptionsLeft(pending.spec, pending.step), all_at_work ? 1 : 0);
  const std::uint32_t count = std::min(
      {allowed, room, static_cast<std::uint32_t>(pending.waiting.size())});
  for (std::uint32_t i = 0; i < count; ++i) {
    Move(context, pending, pending.waiting[i]);
  }
  return true;
}

}  // namespace basilspread::internal::long_running
