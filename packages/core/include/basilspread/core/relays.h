#ifndef BASILSPREAD_CORE_RELAYS_H_
#define BASILSPREAD_CORE_RELAYS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/relay_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// A call to a worker through a relay, as the leader tracks it.
struct RelayedCall {
  ProcessId relay;
  HostName worker;
  std::uint64_t fence = 0;
  /// Unset for a poll.
  std::optional<RunName> run;
  bool is_stop = false;
  /// On the leader's clock, as is `give_up_at`.
  TimePoint sent_at;
  TimePoint give_up_at;
};

/// The leader's view of one relay.
struct RelayPeer {
  /// Numbers of the calls that it has not reported yet.
  std::set<std::uint64_t> open;
  /// It is given no calls before this time.
  TimePoint paused_until;
  /// Number of consecutive pauses.
  std::uint32_t pauses = 0;
};

/// The leader's calls through relays.
struct RelaysState {
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, RelayedCall> open;
  /// The numbers in `open`, ordered by the time at which they are given up.
  std::set<std::pair<TimePoint, std::uint64_t>> by_time;
  std::map<NodeName, RelayPeer> relays;
  /// Version of the set of usable relays; grows with each change of it.
  std::uint64_t changes = 1;
  /// When the earliest of the pauses ends.
  std::optional<TimePoint> pause_ends;
  /// Orders gathered while the current event is handled, by relay.
  std::map<ProcessId, RelayOrders> outgoing;
};

/// The calls that this process makes as a relay of the leader. Not persisted:
/// the leader gives up calls whose report does not arrive.
struct RelayAgentState {
  std::optional<ProcessId> leader;
  Epoch epoch;
  /// Arrival time of each call that has no answer yet, by number.
  std::map<std::uint64_t, TimePoint> open;
  /// Results that are not sent yet.
  std::vector<RelayReport> reports;
  /// Whether the load of this process allowed relaying at the last check.
  bool carries_calls = true;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RELAYS_H_
