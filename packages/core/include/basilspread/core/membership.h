#ifndef BASILSPREAD_CORE_MEMBERSHIP_H_
#define BASILSPREAD_CORE_MEMBERSHIP_H_

#include <map>
#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// What this process knows of one other entry process.
struct Peer {
  NodeName node;
  /// 0 until the first heartbeat.
  std::uint64_t incarnation = 0;
  bool connected = false;
  std::optional<TimePoint> last_heard;
  Heartbeat last_heartbeat;
};

struct MembershipState {
  std::map<NodeName, Peer> peers;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_MEMBERSHIP_H_
