#include "internal/requests_queue.h"

#include <algorithm>

#include "internal/requests_answer.h"
#include "internal/requests_run_time.h"

namespace basilspread::internal::requests {
namespace {

/// One wait has the weight 1/kWaitWeight in the moving averages.
constexpr int kWaitWeight = 16;

/// Bounds of the factor that corrects a predicted wait by measured waits.
constexpr double kMinCorrection = 0.1;
constexpr double kMaxCorrection = 10;

/// Wait predicted from the queued work of this and more urgent classes alone.
Duration UncorrectedWait(const MinionShard& shard, ServiceClass service_class) {
  Duration work{};
  for (std::size_t i = 0; i <= static_cast<std::size_t>(service_class); ++i) {
    work += shard.queues[i].work;
  }
  const bool is_long = service_class == ServiceClass::kLong;
  const std::uint32_t slots =
      shard.open_capacity + (is_long ? 0 : shard.reserved_capacity);
  return slots == 0 ? work : work / slots;
}

/// Time for which slots of the class stay held after a takeover.
Duration RemainingHold(const Context& context, const MinionShard& shard,
                       ServiceClass service_class) {
  const bool is_long = service_class == ServiceClass::kLong;
  const TimePoint until =
      is_long ? shard.open_held_until : shard.reserved_held_until;
  return std::max(until - context.now, Duration::zero());
}

/// Factor by which measured waits differ from predicted ones; 1 before any.
double Correction(const ClassQueue& queue) {
  if (queue.mean_expected_wait <= Duration::zero()) {
    return 1;
  }
  const double ratio = static_cast<double>(queue.mean_measured_wait.count()) /
                       static_cast<double>(queue.mean_expected_wait.count());
  return std::clamp(ratio, kMinCorrection, kMaxCorrection);
}

}  // namespace

ClassQueue& QueueOf(MinionShard& shard, ServiceClass service_class) {
  return shard.queues[static_cast<std::size_t>(service_class)];
}

void Enqueue(Context& context, const Route& route, MinionShard& shard,
             Request& request) {
  ClassQueue& queue = QueueOf(shard, request.service_class);
  request.host = HostName{};
  request.queued_at = context.now;
  request.expected_wait = UncorrectedWait(shard, request.service_class);
  request.expected_run_time = ExpectedRunTime(context, route);
  request.rank = context.state.hooks.queue_orders.at(route.order)(
      QueueEntry{request.arrived, request.deadline, request.expected_run_time,
                 request.service_class});
  queue.requests.insert(request);
  ++queue.count;
  queue.work += request.expected_run_time;
  context.state.requests.expiry.insert(request);
  RouteLoad& load = context.state.requests.routes[request.route];
  ++load.queued;
  ++load.queued_by_team[request.team];
}

void Dequeue(Context& context, MinionShard& shard, Request& request) {
  ClassQueue& queue = QueueOf(shard, request.service_class);
  request.QueueHook::unlink();
  request.ExpiryHook::unlink();
  --queue.count;
  queue.work -= request.expected_run_time;
  RouteLoad& load = context.state.requests.routes[request.route];
  --load.queued;
  const auto team = load.queued_by_team.find(request.team);
  if (--team->second == 0) {
    load.queued_by_team.erase(team);
  }
}

Duration ExpectedWait(const Context& context, const MinionShard& shard,
                      ServiceClass service_class) {
  const ClassQueue& queue =
      shard.queues[static_cast<std::size_t>(service_class)];
  const Duration held = RemainingHold(context, shard, service_class);
  if (!queue.saturated && queue.count == 0) {
    return held;
  }
  const Duration wait = UncorrectedWait(shard, service_class);
  const double corrected =
      static_cast<double>(wait.count()) * Correction(queue);
  return std::max(held, Duration(static_cast<Duration::rep>(corrected)));
}

void RecordWait(Context& context, ClassQueue& queue, const Request& request) {
  const Duration measured = context.now - request.queued_at;
  queue.mean_measured_wait +=
      (measured - queue.mean_measured_wait) / kWaitWeight;
  queue.mean_expected_wait +=
      (request.expected_wait - queue.mean_expected_wait) / kWaitWeight;
}

void ExpireQueued(Context& context) {
  RequestsState& requests = context.state.requests;
  while (!requests.expiry.empty() &&
         requests.expiry.begin()->deadline <= context.now) {
    const RequestPtr request(&*requests.expiry.begin());
    Dequeue(context, requests.shards.at(request->shard), *request);
    Finish(context, request, {ErrorKind::kDeadlinePassed, "", nullptr});
  }
}

}  // namespace basilspread::internal::requests
