#include "admission/queue_ahead.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "internal/fleet.h"
#include "internal/step_order.h"
#include "internal/submission_runs.h"
#include "run_times/run_times.h"

namespace basilspread::internal::queue_ahead {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kMillicores = 1000;
/// Bounds what one submission counts for, so that no declared run time makes
/// the sums overflow.
constexpr Seconds kMaxWork{1e8};
/// Time constant of the rate at which a pool starts work: some runs of the
/// usual length, so that the rate is steady.
constexpr Seconds kRateWindow{5};

AdmissionState& StateOf(Context& context) {
  return context.state.submissions.admission;
}

/// Estimated work of one task.
Seconds WorkOf(const Context& context, const Submission& submission,
               std::uint32_t step) {
  const double cores =
      static_cast<double>(submission.spec->steps[step].demand.cpu_millicores) /
      kMillicores;
  const Duration run_time = run_times::Expected(context, submission, step);
  return Seconds(run_time) * std::max(0.0, cores);
}

/// Whether tasks that wait for this reason wait while others go on.
bool StandsAside(WaitReason reason) {
  return reason == WaitReason::kQuota || reason == WaitReason::kBeyondQuota ||
         reason == WaitReason::kBeyondPool;
}

/// Whether the step's tasks take capacity that other submissions wait for.
/// Tasks that wait for their quota, that need a label or that fit no worker may
/// wait while others go on.
bool Competes(const PoolQueue& pool, const Submission& submission,
              std::uint32_t step) {
  const StepSpec& spec = submission.spec->steps[step];
  return !spec.long_running && spec.required_label.empty() &&
         submission_runs::IsReady(submission, step) &&
         !StandsAside(submission.steps[step].wait_reason) &&
         Fits(spec.demand, pool.largest);
}

CoreTime WaitingWork(const Context& context, const PoolQueue& pool,
                     const Submission& submission) {
  Seconds work{};
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    if (!Competes(pool, submission, i)) {
      continue;
    }
    const auto& tasks = submission.steps[i].tasks;
    const auto waiting = std::count_if(
        tasks.begin(), tasks.end(),
        [](const RunState& task) { return task.phase == RunPhase::kWaiting; });
    work += WorkOf(context, submission, i) * static_cast<double>(waiting);
  }
  return std::chrono::duration_cast<CoreTime>(std::min(work, kMaxWork));
}

WorkByTime& TierOf(PoolQueue& pool, const QueueRank& rank) {
  return pool.waiting.at(static_cast<std::size_t>(rank.tier));
}

void Add(Context& context, const CountedWork& counted, CoreTime work) {
  PoolQueue& pool = StateOf(context).pools[counted.pool];
  TierOf(pool, counted.rank).Add(counted.rank.latest_start, work);
}

/// Estimated work per second that the pool has started lately.
double StartRate(const Context& context, const PoolQueue& pool) {
  const Seconds age = context.now - pool.started_at;
  return pool.started / kRateWindow * std::exp(-(age / kRateWindow));
}

/// Work that the pool takes on in a second. Where estimates are too high, the
/// work that is started counts for more than the cores can do, and so corrects
/// the wait.
double RateOf(const Context& context, const PoolQueue& pool) {
  return std::max(pool.cores, StartRate(context, pool));
}

/// Work of the tier that goes before the rank. Work that is on time now is
/// late, too, once a submission with a later start is.
CoreTime WorkBefore(const WorkByTime& work, QueueTier tier,
                    const QueueRank& rank) {
  const bool is_whole = tier < rank.tier && rank.tier != QueueTier::kLate;
  return is_whole ? work.Total() : work.SumBefore(rank.latest_start);
}

}  // namespace

void Update(Context& context, Submission& submission) {
  if (!submission.queue_rank || !submission.spec) {
    Remove(context, submission);
    return;
  }
  const PoolQueue& pool = StateOf(context).pools[submission.policy.pool];
  CountedWork counted{submission.policy.pool, *submission.queue_rank,
                      WaitingWork(context, pool, submission)};
  const auto& known = submission.counted_work;
  if (known && known->rank == counted.rank && known->work == counted.work) {
    return;
  }
  Remove(context, submission);
  Add(context, counted, counted.work);
  submission.counted_work = std::move(counted);
}

void OnRanked(Context& context, Submission& submission) {
  if (!submission.counted_work) {
    Update(context, submission);
    return;
  }
  CountedWork& counted = *submission.counted_work;
  Add(context, counted, -counted.work);
  counted.rank = *submission.queue_rank;
  Add(context, counted, counted.work);
}

void Remove(Context& context, Submission& submission) {
  const auto counted = std::exchange(submission.counted_work, std::nullopt);
  if (counted) {
    Add(context, *counted, -counted->work);
  }
}

void OnPlaced(Context& context, const Submission& submission,
              std::uint32_t step, std::size_t tasks) {
  if (submission.spec->steps[step].long_running) {
    return;
  }
  PoolQueue& pool = StateOf(context).pools[submission.policy.pool];
  pool.started = Seconds(StartRate(context, pool) * kRateWindow.count()) +
                 std::min(kMaxWork, WorkOf(context, submission, step) *
                                        static_cast<double>(tasks));
  pool.started_at = context.now;
}

void UpdateCapacity(Context& context) {
  AdmissionState& state = StateOf(context);
  for (auto& [name, pool] : state.pools) {
    pool.cores = 0;
    pool.largest = {};
  }
  for (const auto& [name, worker] : context.state.submissions.fleet.workers) {
    if (!fleet::IsUsable(context, worker)) {
      continue;
    }
    const Resources& capacity = worker.entry.capacity;
    PoolQueue& pool = state.pools[worker.entry.pool];
    pool.cores += static_cast<double>(capacity.cpu_millicores) / kMillicores;
    Resources& largest = pool.largest;
    largest.cpu_millicores =
        std::max(largest.cpu_millicores, capacity.cpu_millicores);
    largest.memory_mebibytes =
        std::max(largest.memory_mebibytes, capacity.memory_mebibytes);
    largest.accelerators =
        std::max(largest.accelerators, capacity.accelerators);
  }
}

std::optional<Duration> WaitBefore(const Context& context, const PoolName& pool,
                                   const QueueRank& rank) {
  const auto& pools = context.state.submissions.admission.pools;
  const auto found = pools.find(pool);
  if (found == pools.end() || found->second.cores <= 0) {
    return std::nullopt;
  }
  CoreTime work{};
  for (std::size_t i = 0; i < kQueueTiers; ++i) {
    const auto tier = static_cast<QueueTier>(i);
    if (tier <= rank.tier) {
      work += WorkBefore(found->second.waiting.at(i), tier, rank);
    }
  }
  return std::chrono::duration_cast<Duration>(Seconds(work) /
                                              RateOf(context, found->second));
}

void SetGauges(Context& context) {
  for (const auto& [name, pool] : StateOf(context).pools) {
    CoreTime work{};
    for (const WorkByTime& tier : pool.waiting) {
      work += tier.Total();
    }
    const double rate = RateOf(context, pool);
    const double wait = rate > 0 ? Seconds(work).count() / rate : 0;
    context.Emit(SetGauge{Metric::kQueueAheadTime, wait, name.value});
  }
}

}  // namespace basilspread::internal::queue_ahead
