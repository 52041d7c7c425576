#include "soak/generator.h"

#include <fmt/format.h>

#include <algorithm>

namespace soak {
namespace {

using std::chrono::milliseconds;

/// Shares of the kinds; the rest is wide work.
constexpr double kUrgentShare = 0.6;
constexpr double kSteppedShare = 0.6;
constexpr double kHopelessShare = 0.02;
constexpr double kGangShare = 0.4;
constexpr double kSecondStepShare = 0.4;
/// Shares of stepped work that is bound to a place in one of three ways.
constexpr double kBoundShare = 0.2;
constexpr std::size_t kRackWorkers = 8;
/// Demands of the kinds of requests of Loch Braan; run times are shorter, so
/// that the longest chain ends within the time that is allowed at the end.
constexpr standin::Resources kQuote{5600, 2048, 0};
constexpr standin::Resources kCheck{3900, 4096, 0};
constexpr standin::Resources kPlan{18000, 16384, 0};
constexpr milliseconds kQuoteTime(700);
constexpr milliseconds kCheckTime(1000);
constexpr milliseconds kPlanTime(1500);
/// Of an urgent task that was made long: some are at work, or are started
/// again, from the loss of a leader until the next one starts its tasks.
constexpr milliseconds kLongQuoteTime(4000);

standin::Step MakeCheck(standin::Random& random, std::size_t workers) {
  standin::Step step;
  step.count = static_cast<std::uint32_t>(2 + standin::Below(random, 9));
  step.demand = kCheck;
  step.run_time = kCheckTime;
  if (standin::Chance(random, kBoundShare)) {
    step.max_per_worker =
        static_cast<std::uint32_t>(1 + standin::Below(random, 2));
    step.count = std::min(step.count, static_cast<std::uint32_t>(workers / 2));
  }
  if (standin::Chance(random, kBoundShare)) {
    step.required_label =
        std::string(1, static_cast<char>('a' + standin::Below(random, 3)));
    step.max_per_worker = 0;
  }
  if (standin::Chance(random, kBoundShare)) {
    step.data_rack = fmt::format(
        "r1-{}", standin::Below(random, 1 + workers / kRackWorkers));
  }
  return step;
}

standin::Step MakePlan(standin::Random& random) {
  standin::Step step;
  step.count = static_cast<std::uint32_t>(2 + standin::Below(random, 5));
  step.demand = kPlan;
  step.run_time = kPlanTime;
  step.checkpoints = true;
  step.gang = standin::Chance(random, kGangShare);
  return step;
}

}  // namespace

standin::Submission MakeSubmission(standin::Random& random,
                                   const std::vector<standin::Route>& routes,
                                   std::size_t workers) {
  standin::Submission submission;
  submission.id = fmt::format("{:016x}", random());
  submission.command = "compute " + submission.id;
  if (standin::Chance(random, kUrgentShare)) {
    submission.route = routes.at(0);
    standin::Step step;
    step.count = 2;
    step.demand = kQuote;
    step.run_time = kQuoteTime;
    submission.steps.push_back(step);
  } else {
    const bool is_stepped = standin::Chance(random, kSteppedShare);
    submission.route = routes.at(is_stepped ? 1 : 2);
    const int count = standin::Chance(random, kSecondStepShare) ? 2 : 1;
    for (int i = 0; i < count; ++i) {
      standin::Step step =
          is_stepped ? MakeCheck(random, workers) : MakePlan(random);
      if (i > 0) {
        step.after = {0};
      }
      submission.steps.push_back(step);
    }
  }
  submission.steps.back().is_hopeless = standin::Chance(random, kHopelessShare);
  return submission;
}

void Lengthen(standin::Submission& submission) {
  for (standin::Step& step : submission.steps) {
    if (step.run_time == kQuoteTime) {
      step.run_time = kLongQuoteTime;
    }
  }
}

}  // namespace soak
