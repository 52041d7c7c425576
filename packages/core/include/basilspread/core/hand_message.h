#ifndef BASILSPREAD_CORE_HAND_MESSAGE_H_
#define BASILSPREAD_CORE_HAND_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// A call to a worker that the leader has another process, a hand, make.
using WorkerOrder = std::variant<StartRun, StopRun, PollWorker>;

/// Calls that the receiver makes for the leader, in this order.
struct HandOrders {
  /// Of the leader that sends them.
  Epoch epoch;
  std::vector<WorkerOrder> orders;
};

/// How one of these calls ended.
struct HandReport {
  /// That of the call.
  std::uint64_t number = 0;
  OrderResult result = OrderResult::kUnknown;
  /// From its arrival at the hand to its end there.
  Duration took{};
  /// The rest is set after a look that is kDone.
  WorkerTime clock{};
  std::uint64_t incarnation = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

struct HandReports {
  /// Of the leader that had the calls made.
  Epoch epoch;
  std::vector<HandReport> reports;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_HAND_MESSAGE_H_
