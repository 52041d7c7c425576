#ifndef BASILSPREAD_CORE_LEADERSHIP_H_
#define BASILSPREAD_CORE_LEADERSHIP_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/store_call.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// How far a process is on its way to lead.
enum class LeaderPhase {
  kFollowing,
  /// Raises the work log's epoch, so that an earlier leader's appends fail.
  kFencing,
  /// Reads the work log.
  kLoading,
  /// Raises the fence of every worker and reads what runs there.
  kReconciling,
  kLeading,
};

/// Stable name for logs, for example "following".
const char* NameOf(LeaderPhase phase);

/// A member of the group, with where its peers connect to.
struct GroupMember {
  ProcessId process;
  std::string address;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// The text by which a process joins the group.
std::string ToString(const GroupMember& member);
/// Unset for a text that ToString does not write.
std::optional<GroupMember> ParseGroupMember(const std::string& text);

/// Whether a process joins the group, so that it can come to lead.
struct CandidacyState {
  bool is_candidate = false;
  /// When this process began to look for a leader.
  TimePoint began;
  /// Whether a leader has told who stands.
  bool candidates_known = false;
  /// Since when every read has found that nobody leads.
  std::optional<TimePoint> vacant_since;
  /// Since when the host of the leader has refused connections.
  std::optional<TimePoint> refused_since;
  /// The process that this one has made way for.
  std::optional<NodeName> yielded_to;
  /// When the leader is next read because it seems to be another.
  TimePoint next_leader_check;
  /// While leading: since when this process has been behind all the time.
  std::optional<TimePoint> overloaded_since;
};

struct LeadershipState {
  LeaderPhase phase = LeaderPhase::kFollowing;
  /// Last generation of the group that was received.
  std::uint64_t generation = 0;
  CallChannels join_channels;
  /// Whether the last answered join says that this process leads.
  bool holds_leadership = false;
  /// When that join was sent; unset while nothing proves the leadership.
  std::optional<TimePoint> confirmed_at;
  /// Generation at which this process came to lead.
  Epoch epoch;
  TimePoint phase_began;

  /// Who leads, as far as is known.
  std::optional<GroupMember> leader;
  /// The generation that `leader` was read at.
  std::uint64_t leader_generation = 0;
  bool reading_leader = false;
  TimePoint leader_adopted_at;
  /// When the leader last sent something, or became it; and when the link to
  /// it was last opened anew for its silence.
  TimePoint leader_heard_at;
  TimePoint leader_reopened_at;
  /// Peers to which the connection stands.
  std::set<NodeName> linked_peers;
  CandidacyState candidacy;
  /// The other live members, as the leader last named them.
  std::map<NodeName, GroupMember> peers;
  /// When the store last answered a call with success, and when that was last
  /// checked.
  TimePoint store_heard_at;
  TimePoint store_checked_at;
  /// When this process last asked its peers to end its leadership.
  TimePoint release_sent_at;
  /// A leader that wants its membership ended, and since when this process
  /// knows.
  std::optional<GroupMember> releasing_leader;
  TimePoint release_requested_at;
  /// The group has changed; until then another change may follow.
  TimePoint rebalancing_until;
  /// When peers are next asked who leads, and the last one that was.
  TimePoint next_peer_query;
  NodeName last_queried_peer;
  /// Since when joins have failed; unset while they succeed.
  std::optional<TimePoint> joins_fail_since;
  /// When this process last gained the leadership.
  TimePoint gained_at;
};

/// The leader's writer of the work log: one append at a time.
struct WorkLogState {
  /// Epoch that the sequence numbers belong to.
  Epoch epoch;
  std::uint64_t sequence = 0;
  /// The append that is not settled yet; repeated until it is.
  std::optional<AppendWork> in_flight;
  /// When it was first to be sent.
  TimePoint in_flight_since;
  CallChannels channels;
  /// A timer is armed for the next append; later events do not put it off.
  bool append_scheduled = false;
  /// An earlier try of it may have been carried out.
  bool may_be_stored = false;
  /// Repeats wait until then.
  TimePoint not_before;
  Duration retry_delay{};
  TimePoint last_sent;

  /// What the next append carries.
  std::vector<WorkRecord> accepted;
  std::set<SubmissionId> changed;
  std::set<HostName> workers;
  /// What the append in flight settles.
  std::vector<SubmissionId> in_flight_accepted;
  /// With the state that each record tells: it may have changed since.
  std::map<SubmissionId, SubmissionState> in_flight_changed;
  std::map<HostName, std::uint64_t> in_flight_ends;
  std::set<HostName> in_flight_workers;

  /// Since when the store has refused or not answered; unset: it answers.
  std::optional<TimePoint> failing_since;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LEADERSHIP_H_
