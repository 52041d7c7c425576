#include "bounds.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

#include "basilspread/core/limits.h"

namespace basilspread::wire {
namespace {

using limits::IsWithin;

/// Limit of the total reserved by a team or a process; low enough that sums of
/// many totals do not overflow.
constexpr std::int64_t kMaxTotal = std::int64_t{1} << 48U;

/// Negative times are valid: the time left of a request may have run out.
bool IsValid(Duration time) {
  return time >= -limits::kMaxDuration && time <= limits::kMaxDuration;
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= limits::kMaxNameBytes;
}

bool IsValidTotal(const Resources& amounts) {
  const auto is_valid = [](std::int64_t amount) {
    return amount >= -kMaxTotal && amount <= kMaxTotal;
  };
  return is_valid(amounts.cpu_millicores) &&
         is_valid(amounts.memory_mebibytes) && is_valid(amounts.accelerators);
}

bool IsValid(const JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const TaskGroup& group : spec.tasks) {
    tasks += group.count;
    if (!IsWithin(group.demand)) {
      return false;
    }
  }
  return tasks <= kMaxTasksPerJob && IsValid(spec.expected_run_time) &&
         IsValid(spec.deadline);
}

/// Checks the names only; UnpackSpec has checked the other fields.
bool IsValid(const SubmissionSpec& spec) {
  return IsValidName(spec.id.value) && IsValidName(spec.route.value);
}

bool IsValid(const QueuePolicy& policy) {
  const auto& advice = policy.advice;
  return policy.stretch >= 0 && policy.stretch <= limits::kMaxStretch &&
         IsWithin(policy.target_latency, limits::kMaxTargetLatency) &&
         (!advice || (IsWithin(advice->decision_time, limits::kMaxDuration) &&
                      IsWithin(advice->time_per_worker, limits::kMaxDuration) &&
                      IsWithin(advice->ticket_validity, limits::kMaxDuration)));
}

/// Bounds of orders to workers. A lease ends some seconds after a reading of
/// the worker's clock, so it may exceed kMaxUptime by at most kMaxDuration.
struct OrderBounds {
  bool operator()(const StartRun& order) const {
    return limits::IsWithin(order.lease_until,
                            limits::kMaxUptime + limits::kMaxDuration);
  }
  bool operator()(const StopRun& /*order*/) const { return true; }
  bool operator()(const PollWorker& order) const {
    return limits::IsWithin(order.lease_until,
                            limits::kMaxUptime + limits::kMaxDuration) &&
           IsValid(order.wait);
  }
};

bool IsValid(const LeaderAck& ack) {
  return ack.epoch.value <= limits::kMaxEpoch &&
         limits::IsWithin(ack.sent_at.time_since_epoch(), limits::kMaxUptime) &&
         limits::IsWithin(ack.report_sent_at.time_since_epoch(),
                          limits::kMaxUptime);
}

/// Bounds of messages between processes.
struct MessageBounds {
  bool operator()(const Heartbeat& message) const {
    return std::all_of(
               message.heard.begin(), message.heard.end(),
               [](const HeardReport& report) { return IsValid(report.age); }) &&
           std::all_of(message.usage.begin(), message.usage.end(),
                       [](const TeamUsage& usage) {
                         return IsValidTotal(usage.reserved);
                       });
  }
  bool operator()(const ForwardRequest& message) const {
    return IsValid(message.time_left);
  }
  bool operator()(const JobCall& message) const {
    return IsValid(message.time_left) && IsValid(message.spec);
  }
  bool operator()(const ReserveTasks& message) const {
    return IsValid(message.hold_for) &&
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
            (IsValid(*message.spec) && message.spec->id == message.id &&
             message.spec->route == message.route));
  }
  bool operator()(const SubmissionAnswer& message) const {
    return IsValid(message.retry_after);
  }
  bool operator()(const AdviceAnswer& message) const {
    return IsValid(message.given.validity);
  }
  bool operator()(const HelperReport& message) const {
    return message.highest_epoch.value <= limits::kMaxEpoch &&
           IsValid(message.ack) &&
           std::all_of(message.acknowledged_by.begin(),
                       message.acknowledged_by.end(),
                       [](const AcknowledgingLeader& leader) {
                         return IsValid(leader.age);
                       });
  }
  bool operator()(const LeaderReport& message) const {
    return IsValid(message.ack);
  }
  bool operator()(const RelayOrders& message) const {
    return message.epoch.value <= limits::kMaxEpoch &&
           std::all_of(message.orders.begin(), message.orders.end(),
                       [](const WorkerOrder& order) {
                         return std::visit(OrderBounds{}, order);
                       });
  }
  bool operator()(const RelayReports& message) const {
    return std::all_of(message.reports.begin(), message.reports.end(),
                       [](const RelayReport& report) {
                         return IsValid(report.took) &&
                                limits::IsWithin(report.clock,
                                                 limits::kMaxUptime);
                       });
  }
  template <typename Other>
  bool operator()(const Other& /*message*/) const {
    return true;
  }
};

/// Bounds of records of the log streams.
struct RecordBounds {
  bool operator()(const ReleaseRecord& record) const {
    return IsValid(record.unsettled);
  }
  bool operator()(const JobRecord& record) const {
    return IsValid(record.spec);
  }
  bool operator()(const IntentRecord& record) const {
    return IsWithin(record.start.reserved);
  }
  template <typename Other>
  bool operator()(const Other& /*record*/) const {
    return true;
  }
};

bool IsValid(const RunTimeKey& key, const RunTimeSketch& sketch) {
  // Errors are logarithms, clamped to the length of the axis.
  constexpr double kMaxError = 100;
  const auto is_valid = [](double error) {
    return error >= 0 && error <= kMaxError;
  };
  return IsValidName(key.route.value) && key.step < limits::kMaxSteps &&
         key.image.size() <= limits::kMaxNameBytes &&
         key.workspace.value.size() <= limits::kMaxNameBytes &&
         is_valid(sketch.time_error) && is_valid(sketch.ratio_error) &&
         is_valid(sketch.error);
}

/// Bounds of records of the work log.
struct WorkRecordBounds {
  bool operator()(const AcceptedRecord& record) const {
    return IsValid(*record.spec) && IsValid(record.policy) &&
           record.epoch.value <= limits::kMaxEpoch;
  }
  bool operator()(const ProgressRecord& record) const {
    return IsValidName(record.id.value);
  }
  bool operator()(const LeaderRecord& record) const {
    return IsValidName(record.process.node.value) &&
           record.epoch.value <= limits::kMaxEpoch &&
           (!record.lease_left ||
            IsWithin(*record.lease_left, limits::kMaxDuration));
  }
  bool operator()(const RunTimesRecord& record) const {
    return record.rows.size() <= limits::kMaxRunTimeRows &&
           std::all_of(
               record.rows.begin(), record.rows.end(),
               [](const auto& row) { return IsValid(row.first, row.second); });
  }
  bool operator()(const WorkerRecord& record) const {
    return IsValidName(record.worker.value) &&
           record.unused_since.value <= limits::kMaxEpoch &&
           std::all_of(record.runs.begin(), record.runs.end(),
                       [](const RunName& run) {
                         return IsValidName(run.task.submission.value);
                       });
  }
  template <typename Other>
  bool operator()(const Other& /*record*/) const {
    return true;
  }
};

}  // namespace

bool IsWithinBounds(const PeerMessage& message) {
  return std::visit(MessageBounds{}, message);
}

bool IsWithinBounds(const LogRecord& record) {
  return std::visit(RecordBounds{}, record);
}

bool IsWithinBounds(const WorkRecord& record) {
  return std::visit(WorkRecordBounds{}, record);
}

}  // namespace basilspread::wire
