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

/// State of one other entry process, as known to this process.
struct Peer {
  NodeName node;
  /// 0 until the first heartbeat.
  std::uint64_t incarnation = 0;
  /// Incarnations that the node has replaced; their late messages are ignored.
  std::set<std::uint64_t> old_incarnations;
  /// The outbound link to the peer is open.
  bool connected = false;
  /// When the link opened.
  TimePoint connected_at;
  std::optional<TimePoint> last_heard;
  /// Set by a heartbeat, cleared when none arrives within the peer timeout.
  bool live = false;
  Heartbeat last_heartbeat;
  /// Sending time of the newest heartbeat of this process that the peer has
  /// confirmed.
  std::optional<TimePoint> last_confirmed_send;
  /// When other processes last heard the present incarnation, by their
  /// heartbeats.
  std::optional<TimePoint> last_heard_by_others;
  /// When the settings, a heartbeat or the members stream last named the peer.
  TimePoint learned_at;
  /// Listed in the settings; such a peer is never forgotten.
  bool configured = false;
  /// Address that its peers connect to; empty to use the one in the settings.
  std::string address;
  /// The peer can claim no shard: it has announced its stop, has ended, or has
  /// been silent for several takeover timeouts.
  bool gone = false;
  /// When the link was last reopened because it was silent.
  std::optional<TimePoint> reopened_at;
  /// Time from that until it may be reopened again.
  Duration reopen_delay{};
  /// Protocol version of the peer, if it differs from that of this process.
  std::optional<std::uint32_t> other_version;
};

/// State of the heartbeats between the entry processes.
struct MembershipState {
  std::map<NodeName, Peer> peers;
  /// Number of the next heartbeat of this process.
  std::uint64_t next_heartbeat = 1;
  /// Sending times of the latest heartbeats of this process, by number.
  std::map<std::uint64_t, TimePoint> send_times;
  /// Since when this process has handled events without a pause. Silence of a
  /// peer counts from then on only.
  TimePoint listening_since;
  /// When the latest event was handled.
  std::optional<TimePoint> last_event;
  /// When the log last showed that a process lives whose heartbeats do not
  /// arrive here; unset by the next heartbeat of any peer.
  std::optional<TimePoint> cut_off_at;
  /// When this process last appended its own record to the members stream.
  std::optional<TimePoint> announced_at;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_MEMBERSHIP_H_
