#include "basilspread/core/peer_message.h"

#include <array>
#include <variant>

namespace basilspread {
namespace {

/// Names every kind of message, so that a new one does not compile before it is
/// decided which runs may take it.
struct RunCheck {
  bool operator()(const Heartbeat& /*message*/) const {
    // Tells the sender's state, and confirms a heartbeat by the run that sent
    // it.
    return false;
  }
  bool operator()(const ForwardRequest& /*message*/) const {
    // Any run may take it that owns the shard; it answers the run of origin.
    return false;
  }
  bool operator()(const ForwardAnswer& /*message*/) const { return true; }
  bool operator()(const JobCall& /*message*/) const { return true; }
  bool operator()(const JobAnswer& /*message*/) const { return true; }
  bool operator()(const ReserveTasks& /*message*/) const { return true; }
  bool operator()(const ReserveAnswer& /*message*/) const { return true; }
  bool operator()(const ConfirmTasks& /*message*/) const { return true; }
  bool operator()(const ReleaseHold& /*message*/) const { return true; }
  bool operator()(const StopTasks& /*message*/) const { return true; }
  bool operator()(const TaskReports& /*message*/) const { return true; }
  bool operator()(const TaskReportsAck& /*message*/) const { return true; }
  bool operator()(const SubmissionCall& /*message*/) const { return true; }
  bool operator()(const SubmissionAnswer& /*message*/) const { return true; }
  bool operator()(const HelperReport& /*message*/) const {
    // Tells the sender's state to whichever run leads or may lead.
    return false;
  }
  bool operator()(const AdviceCall& /*message*/) const { return true; }
  bool operator()(const AdviceAnswer& /*message*/) const { return true; }
  bool operator()(const LeaderReport& message) const {
    // An acknowledgement names a time on the clock of the run that reported.
    // Other reports tell who leads.
    return message.ack.epoch != Epoch{};
  }
  bool operator()(const RelayOrders& /*message*/) const { return true; }
  bool operator()(const RelayReports& /*message*/) const { return true; }
};

/// In the order of PeerMessage.
constexpr std::array<const char*, std::variant_size_v<PeerMessage>> kNames = {
    "heartbeat",       "forward-request",   "forward-answer",
    "job-call",        "job-answer",        "reserve-tasks",
    "reserve-answer",  "confirm-tasks",     "release-hold",
    "stop-tasks",      "task-reports",      "task-reports-ack",
    "submission-call", "submission-answer", "helper-report",
    "advice-call",     "advice-answer",     "leader-report",
    "relay-orders",    "relay-reports"};

}  // namespace

bool IsForOneRun(const PeerMessage& message) {
  return std::visit(RunCheck{}, message);
}

const char* NameOf(const PeerMessage& message) {
  return kNames.at(message.index());
}

}  // namespace basilspread
