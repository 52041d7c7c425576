#include "internal/requests_run_time.h"

#include <algorithm>
#include <chrono>

namespace basilspread::internal::requests {
namespace {

/// One run has at least the weight 1/kMaxSampleWeight in the moving averages.
constexpr std::uint32_t kMaxSampleWeight = 16;

const RouteLoad* FindLoad(const Context& context, const RouteName& route) {
  const auto found = context.state.requests.routes.find(route);
  return found == context.state.requests.routes.end() ? nullptr
                                                      : &found->second;
}

}  // namespace

Duration ExpectedRunTime(const Context& context, const Route& route) {
  const RouteLoad* load = FindLoad(context, route.name);
  const bool is_learned = load != nullptr && load->samples > 0;
  return is_learned ? load->mean_run_time : route.expected_run_time;
}

Duration OptimisticRunTime(const Context& context, const Route& route) {
  const RouteLoad* load = FindLoad(context, route.name);
  if (load == nullptr || load->samples == 0 || load->running == 0) {
    return Duration::zero();
  }
  return std::max(load->mean_run_time - load->mean_deviation,
                  load->mean_run_time / 4);
}

// Algorithm: the mean and mean deviation of TCP's round-trip time estimator
// (Jacobson, 1988), with an arithmetic mean over the first kMaxSampleWeight
// runs.
void RecordRunTime(Context& context, const RouteName& route,
                   Duration run_time) {
  RouteLoad& load = context.state.requests.routes[route];
  if (load.samples == 0) {
    load.mean_run_time = run_time;
    load.mean_deviation = Duration::zero();
    load.samples = 1;
    return;
  }
  load.samples = std::min(load.samples + 1, kMaxSampleWeight);
  const Duration difference = run_time - load.mean_run_time;
  load.mean_run_time += difference / load.samples;
  load.mean_deviation +=
      (std::chrono::abs(difference) - load.mean_deviation) / load.samples;
}

}  // namespace basilspread::internal::requests
