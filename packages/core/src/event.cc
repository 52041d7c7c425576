#include "basilspread/core/event.h"

namespace basilspread {
namespace {

std::string_view NameOf(TimerKind kind) {
  switch (kind) {
    case TimerKind::kHeartbeat:
      return "timer-heartbeat";
    case TimerKind::kMembership:
      return "timer-membership";
    case TimerKind::kOwnership:
      return "timer-ownership";
    case TimerKind::kHostList:
      return "timer-host-list";
    case TimerKind::kConfiguration:
      return "timer-configuration";
    case TimerKind::kLogRead:
      return "timer-stream-read";
    case TimerKind::kLogAppend:
      return "timer-stream-append";
    case TimerKind::kRequests:
      return "timer-requests";
    case TimerKind::kJobs:
      return "timer-jobs";
    case TimerKind::kStop:
      return "timer-stop";
    case TimerKind::kLeadership:
      return "timer-leadership";
    case TimerKind::kCalls:
      return "timer-calls";
    case TimerKind::kFleet:
      return "timer-fleet";
    case TimerKind::kPlacement:
      return "timer-placement";
    case TimerKind::kWorkLog:
      return "timer-work-log";
    case TimerKind::kTablesRetry:
      return "timer-tables-retry";
    case TimerKind::kFleetRetry:
      return "timer-fleet-retry";
    case TimerKind::kFleetFollow:
      return "timer-fleet-follow";
    case TimerKind::kLoadRetry:
      return "timer-load-retry";
    case TimerKind::kHandRelay:
      return "timer-hand-relay";
  }
  return "timer";
}

struct Namer {
  std::string_view operator()(const Started& /*event*/) const {
    return "started";
  }
  std::string_view operator()(const RequestArrived& /*event*/) const {
    return "request";
  }
  std::string_view operator()(const CallerGone& /*event*/) const {
    return "caller-gone";
  }
  std::string_view operator()(const MinionAnswered& /*event*/) const {
    return "minion-answered";
  }
  std::string_view operator()(const PeerReceived& /*event*/) const {
    return "peer-message";
  }
  std::string_view operator()(const PeerLinkChanged& /*event*/) const {
    return "peer-link";
  }
  std::string_view operator()(const PeerMessageNotSent& /*event*/) const {
    return "peer-message-not-sent";
  }
  std::string_view operator()(const LogAppended& /*event*/) const {
    return "stream-appended";
  }
  std::string_view operator()(const LogRead& /*event*/) const {
    return "stream-read";
  }
  std::string_view operator()(const HostsListed& /*event*/) const {
    return "hosts-listed";
  }
  std::string_view operator()(const TimerFired& event) const {
    return NameOf(event.kind);
  }
  std::string_view operator()(const StopRequested& /*event*/) const {
    return "stop";
  }
  std::string_view operator()(const DumpRequested& /*event*/) const {
    return "dump";
  }
  std::string_view operator()(const JobArrived& /*event*/) const {
    return "job-call";
  }
  std::string_view operator()(const WorkerAnswered& /*event*/) const {
    return "worker-answered";
  }
  std::string_view operator()(const PeerMismatched& /*event*/) const {
    return "peer-mismatched";
  }
  std::string_view operator()(const SubmissionCallArrived& /*event*/) const {
    return "submission-call";
  }
  std::string_view operator()(const Resumed& /*event*/) const {
    return "resumed";
  }
  std::string_view operator()(const GroupJoined& /*event*/) const {
    return "group-joined";
  }
  std::string_view operator()(const LeaderRead& /*event*/) const {
    return "leader-read";
  }
  std::string_view operator()(const WorkAppended& /*event*/) const {
    return "work-appended";
  }
  std::string_view operator()(const WorkListed& /*event*/) const {
    return "work-listed";
  }
  std::string_view operator()(const TablesRead& /*event*/) const {
    return "tables-read";
  }
  std::string_view operator()(const FleetRead& /*event*/) const {
    return "fleet-read";
  }
  std::string_view operator()(const WorkerPolled& /*event*/) const {
    return "worker-looked";
  }
  std::string_view operator()(const RunOrdered& /*event*/) const {
    return "run-ordered";
  }
  std::string_view operator()(const AdviceGiven& /*event*/) const {
    return "advice-given";
  }
  std::string_view operator()(const PeerRefused& /*event*/) const {
    return "peer-refused";
  }
};

}  // namespace

std::string_view NameOf(const EventBody& body) {
  return std::visit(Namer{}, body);
}

}  // namespace basilspread
