#ifndef BASILSPREAD_CORE_RELAY_MESSAGE_H_
#define BASILSPREAD_CORE_RELAY_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// A call to a worker that a relay makes on behalf of the leader.
using WorkerOrder = std::variant<StartRun, StopRun, PollWorker>;

/// Calls that the receiving relay makes for the leader, in this order.
struct RelayOrders {
  /// Epoch of the leader that sends the calls.
  Epoch epoch;
  std::vector<WorkerOrder> orders;
};

/// Result of one relayed call.
struct RelayReport {
  /// Number of the call.
  std::uint64_t number = 0;
  OrderResult result = OrderResult::kUnknown;
  /// Time from the arrival of the order at the relay to the end of the call.
  Duration took{};
  /// WorkerPolled::clock or RunOrdered::clock.
  WorkerTime clock{};
  /// The members below are set only for a poll with the result kDone.
  std::uint64_t incarnation = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  bool may_have_more_ends = false;
};

/// Results of relayed calls, sent to the leader.
struct RelayReports {
  /// Epoch of the leader that ordered the calls.
  Epoch epoch;
  std::vector<RelayReport> reports;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RELAY_MESSAGE_H_
