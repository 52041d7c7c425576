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

/// A call to a worker that a hand makes, at the leader.
struct RelayedCall {
  ProcessId relay;
  HostName worker;
  std::uint64_t fence = 0;
  /// Unset for a look.
  std::optional<RunName> run;
  bool is_stop = false;
  /// On the leader's clock.
  TimePoint sent_at;
  TimePoint give_up_at;
};

/// What the leader knows of a process that makes calls for it.
struct RelayPeer {
  /// Numbers of its calls without a report.
  std::set<std::uint64_t> open;
  /// It gets no calls until then.
  TimePoint paused_until;
  /// How often it was paused in a row.
  std::uint32_t pauses = 0;
};

/// The leader's calls through hands.
struct RelaysState {
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, RelayedCall> open;
  /// The numbers of `open`, by when they are given up.
  std::set<std::pair<TimePoint, std::uint64_t>> by_time;
  std::map<NodeName, RelayPeer> relays;
  /// Counts the changes of which processes can be hands.
  std::uint64_t changes = 1;
  /// When the next pause ends.
  std::optional<TimePoint> pause_ends;
  /// What the event that is being handled sends.
  std::map<NodeName, RelayOrders> outgoing;
};

/// The calls that this process makes for the leader. Nothing of it must last.
struct RelayAgentState {
  std::optional<ProcessId> leader;
  Epoch epoch;
  /// When each call without an answer arrived, by number.
  std::map<std::uint64_t, TimePoint> open;
  /// Ends that are not reported yet.
  std::vector<RelayReport> reports;
  /// What this process last said of itself.
  bool carries_calls = true;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RELAYS_H_
