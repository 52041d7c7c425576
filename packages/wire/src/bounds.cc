#include "bounds.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

#include "basilspread/core/limits.h"

namespace basilspread::wire {
namespace {

using limits::IsWithin;

/// What a team or a process has reserved in all: sums of many such amounts
/// stay in range.
constexpr std::int64_t kMaxTotal = std::int64_t{1} << 48U;

/// Times that are left may have run out.
bool IsSound(Duration time) {
  return time >= -limits::kMaxDuration && time <= limits::kMaxDuration;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= limits::kMaxNameBytes;
}

bool IsTotal(const Resources& amounts) {
  const auto is_sound = [](std::int64_t amount) {
    return amount >= -kMaxTotal && amount <= kMaxTotal;
  };
  return is_sound(amounts.cpu_millicores) &&
         is_sound(amounts.memory_mebibytes) && is_sound(amounts.accelerators);
}

bool IsSound(const JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const TaskGroup& group : spec.tasks) {
    tasks += group.count;
    if (!IsWithin(group.demand)) {
      return false;
    }
  }
  return tasks <= kMaxTasksPerJob && IsSound(spec.expected_run_time) &&
         IsSound(spec.deadline);
}

/// Its decoder has checked the rest.
bool IsSound(const SubmissionSpec& spec) {
  return IsName(spec.id.value) && IsName(spec.route.value);
}

bool IsSound(const QueuePolicy& policy) {
  const auto& advice = policy.advice;
  return policy.stretch >= 0 && policy.stretch <= limits::kMaxStretch &&
         IsWithin(policy.target_latency, limits::kMaxTargetLatency) &&
         (!advice || (IsWithin(advice->decision_time, limits::kMaxDuration) &&
                      IsWithin(advice->time_per_worker, limits::kMaxDuration) &&
                      IsWithin(advice->ticket_validity, limits::kMaxDuration)));
}

/// Of calls to workers. A lease ends some seconds after a reading of the
/// worker's clock.
struct OrderCheck {
  bool operator()(const StartRun& order) const {
    return limits::IsWithin(order.lease_until,
                            limits::kMaxUptime + limits::kMaxDuration);
  }
  bool operator()(const StopRun& /*order*/) const { return true; }
  bool operator()(const LookAtWorker& order) const {
    return limits::IsWithin(order.lease_until,
                            limits::kMaxUptime + limits::kMaxDuration) &&
           IsSound(order.wait);
  }
};

/// Of messages between processes.
struct MessageCheck {
  bool operator()(const Heartbeat& message) const {
    return std::all_of(
               message.heard.begin(), message.heard.end(),
               [](const HeardReport& report) { return IsSound(report.age); }) &&
           std::all_of(
               message.usage.begin(), message.usage.end(),
               [](const TeamUsage& usage) { return IsTotal(usage.reserved); });
  }
  bool operator()(const ForwardRequest& message) const {
    return IsSound(message.time_left);
  }
  bool operator()(const JobCall& message) const {
    return IsSound(message.time_left) && IsSound(message.spec);
  }
  bool operator()(const ReserveTasks& message) const {
    return IsSound(message.hold_for) &&
           std::all_of(
               message.tasks.begin(), message.tasks.end(),
               [](const TaskDemand& task) { return IsWithin(task.demand); });
  }
  bool operator()(const ConfirmTasks& message) const {
    return std::all_of(
        message.tasks.begin(), message.tasks.end(),
        [](const TaskStart& task) { return IsWithin(task.reserved); });
  }
  bool operator()(const SubmissionCall& message) const {
    const bool is_small = message.id.value.size() <= limits::kMaxNameBytes &&
                          message.route.value.size() <= limits::kMaxNameBytes;
    return is_small &&
           (!message.spec ||
            (IsSound(*message.spec) && message.spec->id == message.id &&
             message.spec->route == message.route));
  }
  bool operator()(const SubmissionAnswer& message) const {
    return IsSound(message.retry_after);
  }
  bool operator()(const AdviceAnswer& message) const {
    return IsSound(message.given.validity);
  }
  bool operator()(const HandOrders& message) const {
    return std::all_of(message.orders.begin(), message.orders.end(),
                       [](const WorkerOrder& order) {
                         return std::visit(OrderCheck{}, order);
                       });
  }
  bool operator()(const HandReports& message) const {
    return std::all_of(message.reports.begin(), message.reports.end(),
                       [](const HandReport& report) {
                         return IsSound(report.took) &&
                                limits::IsWithin(report.clock,
                                                 limits::kMaxUptime);
                       });
  }
  template <typename Other>
  bool operator()(const Other& /*message*/) const {
    return true;
  }
};

/// Of records of the log's streams.
struct RecordCheck {
  bool operator()(const ReleaseRecord& record) const {
    return IsSound(record.unsettled);
  }
  bool operator()(const JobRecord& record) const {
    return IsSound(record.spec);
  }
  bool operator()(const IntentRecord& record) const {
    return IsWithin(record.start.reserved);
  }
  template <typename Other>
  bool operator()(const Other& /*record*/) const {
    return true;
  }
};

/// Of records of the work log.
struct WorkCheck {
  bool operator()(const AcceptedRecord& record) const {
    return IsSound(*record.spec) && IsSound(record.policy);
  }
  bool operator()(const ProgressRecord& record) const {
    return IsName(record.id.value);
  }
  bool operator()(const WorkerRecord& record) const {
    return IsName(record.worker.value);
  }
  template <typename Other>
  bool operator()(const Other& /*record*/) const {
    return true;
  }
};

}  // namespace

bool IsWithinBounds(const PeerMessage& message) {
  return std::visit(MessageCheck{}, message);
}

bool IsWithinBounds(const LogRecord& record) {
  return std::visit(RecordCheck{}, record);
}

bool IsWithinBounds(const WorkRecord& record) {
  return std::visit(WorkCheck{}, record);
}

}  // namespace basilspread::wire
