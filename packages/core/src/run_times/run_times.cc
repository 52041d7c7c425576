#include "run_times/run_times.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "run_times/histogram.h"
#include "run_times/moving_average.h"
#include "run_times/sketches.h"

namespace basilspread::internal::run_times {
namespace {

constexpr std::string_view kPart = "run-times";

/// Weight of all tasks of one step of a submission: they are alike, so that a
/// wide step would otherwise displace all other submissions.
constexpr double kMaxStepWeight = 4;
/// Bounds the error of a single run, which may be in the tail.
const double kMaxLogError = std::log(8.0);
constexpr double kErrorRate = 0.05;
/// The kind's bias follows faster than a worker's speed, so that a shift of the
/// kind is not taken for slow workers.
constexpr double kBiasRate = 0.2;
constexpr double kSpeedRate = 0.1;
/// Runs after which a worker's speed counts as known.
constexpr std::uint64_t kSpeedSamples = 8;
/// Runs on workers that are slower than this are not learned from.
constexpr double kSlow = 1.5;
constexpr std::size_t kMaxWorkers = 2048;
/// Estimates change by a few percent with each run, and a re-ordering of the
/// queue is worth it for larger changes only.
constexpr Duration kEstimateAge = std::chrono::seconds(1);
constexpr double kMedian = 0.5;

RunTimesState& StateOf(const Context& context) {
  return context.state.submissions.run_times;
}

WorkerSpeed& SpeedOf(RunTimesState& state, const HostName& worker) {
  if (!state.speeds.contains(worker) && state.speeds.size() >= kMaxWorkers) {
    state.speeds.erase(
        std::min_element(state.speeds.begin(), state.speeds.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.last_run < right.second.last_run;
                         }));
  }
  return state.speeds[worker];
}

/// Updates the errors of the kind's estimate and the speed of the worker.
void RecordError(RunTimesState& state, RunTimeSketch& kind,
                 const HostName& worker, double log_error) {
  kind.error += (std::abs(log_error) - kind.error) * kErrorRate;
  if (!IsSure(kind)) {
    return;
  }
  const double bounded = std::clamp(log_error, -kMaxLogError, kMaxLogError);
  kind.bias += (bounded - kind.bias) * kBiasRate;
  WorkerSpeed& speed = SpeedOf(state, worker);
  speed.log_factor += (bounded - kind.bias - speed.log_factor) * kSpeedRate;
  ++speed.samples;
  speed.last_run = state.runs;
}

bool IsSuspect(const Context& context, const HostName& worker) {
  const auto& workers = context.state.submissions.fleet.workers;
  const auto found = workers.find(worker);
  return found != workers.end() && found->second.on_probation;
}

void LogShift(Context& context, const RunTimeKey& key, Duration run_time) {
  context.Log(LogLevel::kInfo, kPart,
              "The run times of a kind of work have shifted.",
              {{"route", key.route.value},
               {"step", key.step},
               {"image", key.image},
               {"workspace", key.workspace.value},
               {"latest_ms", run_time}});
}

void LearnAll(Context& context, const std::vector<RunTimeKey>& keys,
              const RunSample& sample) {
  RunTimesState& state = StateOf(context);
  ++state.runs;
  for (const RunTimeKey& key : keys) {
    RunTimeSketch& sketch = FindOrAdd(state, key);
    sketch.last_run = state.runs;
    if (Learn(sketch, sample) && key.scope != RunTimeScope::kRoute) {
      LogShift(context, key, sample.run_time);
    }
  }
}

}  // namespace

bool IsEnabled(const Context& context) {
  return context.state.settings.store.learn_run_times;
}

Duration Expected(const Context& context, const Submission& submission,
                  std::uint32_t step) {
  return ExpectedLongest(context, submission, step, 1);
}

Duration ExpectedLongest(const Context& context, const Submission& submission,
                         std::uint32_t step, std::uint32_t count) {
  return IsEnabled(context)
             ? MeanOfLongest(Predict(StateOf(context), submission, step), count)
             : moving_average::Expected(context, submission, step);
}

Duration Quantile(const Context& context, const Submission& submission,
                  std::uint32_t step, double q) {
  return IsEnabled(context)
             ? Quantile(Predict(StateOf(context), submission, step), q)
             : moving_average::Expected(context, submission, step);
}

Duration Remaining(const Context& context, const Submission& submission,
                   std::uint32_t step, Duration elapsed) {
  if (IsEnabled(context)) {
    return MeanRemaining(Predict(StateOf(context), submission, step), elapsed);
  }
  const Duration expected = moving_average::Expected(context, submission, step);
  return std::max(expected - elapsed, Duration::zero());
}

bool IsSure(const Context& context, const Submission& submission,
            std::uint32_t step) {
  const auto& sketches = StateOf(context).sketches;
  const auto found = sketches.find(KeysOf(submission, step).at(1));
  return IsEnabled(context) && found != sketches.end() && IsSure(found->second);
}

double SlownessOf(const Context& context, const HostName& worker) {
  const auto& speeds = StateOf(context).speeds;
  const auto found = speeds.find(worker);
  const bool is_known =
      found != speeds.end() && found->second.samples >= kSpeedSamples;
  return is_known ? std::exp(found->second.log_factor) : 1;
}

void RecordRun(Context& context, const Submission& submission,
               std::uint32_t step, const HostName& worker, Duration run_time) {
  if (!IsEnabled(context)) {
    moving_average::RecordRun(context, submission, step, run_time);
    return;
  }
  if (IsSuspect(context, worker)) {
    context.Count(Metric::kRunTimesSkipped, "suspect-worker");
    return;
  }
  RunTimesState& state = StateOf(context);
  const std::vector<RunTimeKey> keys = KeysOf(submission, step);
  const auto known = state.sketches.find(keys.at(1));
  const Duration median = Quantile(context, submission, step, kMedian);
  if (known != state.sketches.end() && median > Duration::zero()) {
    const double ratio = std::chrono::duration<double>(run_time) /
                         std::chrono::duration<double>(median);
    RecordError(state, known->second, worker,
                std::log(std::max(ratio, std::exp(-kMaxLogError))));
  }
  const double slowness = SlownessOf(context, worker);
  if (slowness > kSlow) {
    context.Count(Metric::kRunTimesSkipped, "slow-worker");
    return;
  }
  const StepSpec& spec = submission.spec->steps[step];
  LearnAll(context, keys,
           {std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(run_time) / slowness),
            spec.expected_run_time,
            std::min(1.0, kMaxStepWeight / std::max(spec.count, 1U))});
}

StepEstimate Estimate(const Context& context, const Submission& submission,
                      std::uint32_t step) {
  if (!IsEnabled(context)) {
    const Duration expected =
        moving_average::Expected(context, submission, step);
    return {expected, expected, context.now};
  }
  const RunTimeWeights times = Predict(StateOf(context), submission, step);
  const StepState& progress = submission.steps[step];
  const auto left =
      static_cast<std::uint32_t>(progress.tasks.size()) - progress.succeeded;
  return {MeanOfLongest(times, 1), MeanOfLongest(times, left), context.now};
}

void Refresh(const Context& context, Submission& submission) {
  const bool is_enabled = IsEnabled(context);
  for (std::uint32_t i = 0; i < submission.steps.size(); ++i) {
    StepState& step = submission.steps[i];
    if (!is_enabled) {
      step.estimate.reset();
      continue;
    }
    if (step.estimate && context.now < step.estimate->made_at + kEstimateAge) {
      continue;
    }
    step.estimate = Estimate(context, submission, i);
  }
}

void SetGauges(Context& context) {
  struct Sum {
    double weight = 0;
    double time = 0;
    double error = 0;
  };
  std::map<std::string, Sum> sums;
  const RunTimesState& state = StateOf(context);
  for (const auto& [key, sketch] : state.sketches) {
    const double weight = Total(sketch.times);
    if (key.scope != RunTimeScope::kKind || weight <= 0) {
      continue;
    }
    // Images are chosen by callers, so that they cannot name series.
    Sum& sum = sums[key.route.value + "/" + std::to_string(key.step)];
    sum.weight += weight;
    sum.time +=
        weight *
        std::chrono::duration<double>(MeanOfLongest(sketch.times, 1)).count();
    sum.error += weight * sketch.error;
  }
  for (const auto& [kind, sum] : sums) {
    context.Emit(
        SetGauge{Metric::kExpectedRunTime, sum.time / sum.weight, kind});
    context.Emit(SetGauge{Metric::kRunTimeError,
                          std::exp(sum.error / sum.weight), kind});
  }
  context.Emit(SetGauge{Metric::kRunTimeSketches,
                        static_cast<double>(state.sketches.size())});
}

}  // namespace basilspread::internal::run_times
