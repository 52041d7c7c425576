#ifndef BASILSPREAD_CORE_MEMBERSHIP_H_
#define BASILSPREAD_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// What this process knows of one other entry process.
struct Peer {
  NodeName node;
  /// 0 until the first heartbeat.
  std::uint64_t incarnation = 0;
  /// Earlier runs of the node; their late messages are ignored.
  std::set<std::uint64_t> old_incarnations;
  bool connected = false;
  /// When the connection opened.
  TimePoint connected_at;
  std::optional<TimePoint> last_heard;
  /// Set by a heartbeat, cleared after a silence.
  bool live = false;
  Heartbeat last_heartbeat;
  /// When the latest own heartbeat that the peer has confirmed was sent.
  std::optional<TimePoint> last_confirmed_send;
  /// When another process last heard this run, as that one reported.
  std::optional<TimePoint> last_heard_by_others;
  /// When the peer was last learnt of from the settings, a heartbeat or the
  /// stream of members.
  TimePoint learned_at;
  /// Listed in the settings: never forgotten.
  bool configured = false;
  /// Where its peers connect to; empty for that of the settings.
  std::string address;
  /// It has announced its stop, or went silent long ago: it cannot claim.
  bool gone = false;
  /// When its silent link was last reopened, and the time until the next try.
  std::optional<TimePoint> reopened_at;
  Duration reopen_delay{};
  /// Protocol version that it speaks, when that is another one.
  std::optional<std::uint32_t> other_version;
};

struct MembershipState {
  std::map<NodeName, Peer> peers;
  std::uint64_t next_heartbeat = 1;
  /// When the latest own heartbeats were sent, by number.
  std::map<std::uint64_t, TimePoint> send_times;
  /// Since when this process has listened without a gap in its own clock.
  TimePoint listening_since;
  std::optional<TimePoint> last_event;
  /// When a process that this one does not hear was last seen in the log.
  std::optional<TimePoint> cut_off_at;
  /// When this process last announced itself on the stream of members.
  std::optional<TimePoint> announced_at;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_MEMBERSHIP_H_
