#ifndef BASILSPREAD_CORE_LEADERSHIP_H_
#define BASILSPREAD_CORE_LEADERSHIP_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/store_call.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Phases of a takeover, from follower to active leader.
enum class LeaderPhase {
  kFollowing,
  /// Raising the work log's epoch, so that an earlier leader's appends fail.
  kFencing,
  /// Reading the work log.
  kLoading,
  /// Raising the fence of every worker and reading what runs there.
  kReconciling,
  kLeading,
};

/// Stable name of a phase for logs, for example "following".
const char* NameOf(LeaderPhase phase);

/// A member of the group and the address at which its peers connect to it.
struct GroupMember {
  ProcessId process;
  std::string address;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// Encodes a member as the text by which it joins the group.
std::string ToString(const GroupMember& member);
/// Decodes the text written by ToString; unset if the text is malformed.
std::optional<GroupMember> ParseGroupMember(const std::string& text);

/// Whether this process is a candidate: a member of the group, which can be
/// given the leadership.
struct CandidacyState {
  bool is_candidate = false;
  /// When this process started to look for a leader.
  TimePoint began;
  /// Whether a leader has reported the candidates to this process.
  bool candidates_known = false;
  /// Start of the period in which every read has found no leader.
  std::optional<TimePoint> vacant_since;
  /// Start of the period in which the leader's host has refused connections.
  std::optional<TimePoint> refused_since;
  /// The stronger process to which this one yielded the leadership.
  std::optional<NodeName> yielded_to;
  /// Earliest time of the next read of the group's owner after a suspected
  /// change of the leader.
  TimePoint next_leader_check;
  /// Start of the period in which this leader has been overloaded without a
  /// break.
  std::optional<TimePoint> overloaded_since;
};

/// A process whose reports this leader has acknowledged, by its node. It may
/// become the next leader; if it does, it confirms this one no more.
struct Witness {
  ProcessId process;
  /// When its latest report arrived.
  TimePoint heard_at;
  /// LeaderAck::sent_at of the latest acknowledgement that it has repeated.
  std::optional<TimePoint> confirmed_at;
};

/// What shows this leader that it may act: that no other process can have led
/// for long enough to start what may run here.
struct LeadershipProofState {
  /// Latest time at which the store showed that no higher epoch is in force.
  std::optional<TimePoint> store;
  /// Latest time at which no witness followed a later leader.
  std::optional<TimePoint> witnesses_confirmed_at;
  std::map<NodeName, Witness> witnesses;
  /// When another process was last found on a witness's node. The former one
  /// may have turned to a later leader: the witnesses prove nothing until the
  /// store has confirmed this leader.
  std::optional<TimePoint> witness_replaced_at;
  /// When the generation of the group changed: another process may have led
  /// meanwhile. Set until an append that began later is stored.
  std::optional<TimePoint> unverified_since;
  /// What was sent before is not counted, since this process was suspended.
  TimePoint valid_from;
  /// Whether it was logged that no run may be started.
  bool is_missing_logged = false;
};

/// A leader before this one, which may go on without knowing of it.
struct Predecessor {
  ProcessId process;
  /// Address that peers connect to; empty if its record cannot be read.
  std::string address;
  Epoch epoch;
  /// When it surely could not gain another proof of its leadership; unset while
  /// that is not known.
  std::optional<TimePoint> ended_at;
  /// When its leases have surely lapsed, as an earlier leader stored; unset:
  /// nothing is stored.
  std::optional<TimePoint> lapsed_by;
};

struct LeadershipState {
  LeaderPhase phase = LeaderPhase::kFollowing;
  /// Latest generation of the group that this process received.
  std::uint64_t generation = 0;
  CallChannels join_channels;
  /// Kept over takeovers, since a call of an earlier one may be in flight.
  CallChannels append_channels;
  /// Whether the last answered join gave this process the leadership.
  bool holds_leadership = false;
  /// Send time of the latest join that confirmed the leadership; unset while
  /// it is unconfirmed.
  std::optional<TimePoint> confirmed_at;
  /// Whether the loss of the confirmation was logged.
  bool is_unconfirmed_logged = false;
  /// Send time of the latest join by which this process held the leadership.
  TimePoint held_at;
  /// Epoch of this process's latest takeover, which no other takeover has: the
  /// generation at which it gained the leadership, or a higher number if that
  /// was in use.
  Epoch epoch;
  /// Highest epoch that this process knows to be in use.
  Epoch highest_epoch;
  /// When the store was known to have `epoch` in force.
  TimePoint epoch_raised_at;
  LeadershipProofState proof;
  /// Earlier leaders that may still act, by node.
  std::map<NodeName, Predecessor> predecessors;
  /// When the remaining waits for them are next stored.
  TimePoint next_wait_record;
  /// The latest acknowledgement of a report of this process, and its sender.
  std::pair<ProcessId, LeaderAck> ack;
  /// Leaders that have acknowledged reports of this process lately, with the
  /// times at which it sent the latest of these.
  std::map<ProcessId, TimePoint> acknowledged_by;
  TimePoint phase_began;

  /// The current leader; unset while it is unknown.
  std::optional<GroupMember> leader;
  /// Generation of the group at which `leader` was read.
  std::uint64_t leader_generation = 0;
  bool reading_leader = false;
  TimePoint leader_adopted_at;
  /// When this process last received a message from the leader, or started to
  /// follow it; and when it last reopened the connection to a silent leader.
  TimePoint leader_heard_at;
  TimePoint leader_reopened_at;
  /// Peers to which a connection is open.
  std::set<NodeName> linked_peers;
  CandidacyState candidacy;
  /// The other live processes, as last reported by the leader or, on the
  /// leader, by themselves.
  std::map<NodeName, GroupMember> peers;
  /// When the store last answered a call successfully, and when the leader
  /// last checked that.
  TimePoint store_heard_at;
  TimePoint store_checked_at;
  /// When this leader last asked its peers to end its membership because the
  /// store did not answer.
  TimePoint release_sent_at;
  /// A leader that has asked this process to end its membership, and when the
  /// request arrived.
  std::optional<GroupMember> releasing_leader;
  TimePoint release_requested_at;
  /// The group has changed recently; members join more often until then.
  TimePoint rebalancing_until;
  /// When peers may next be asked who leads, and the peer asked last.
  TimePoint next_peer_query;
  NodeName last_queried_peer;
  /// When joins, or on a process that is no member the reads of the group's
  /// owner, started to fail; unset while they succeed.
  std::optional<TimePoint> joins_fail_since;
  /// When this process last gained the leadership, and when it last lost it.
  TimePoint gained_at;
  std::optional<TimePoint> lost_at;
};

/// The leader's writer of the work log; it has one append in flight at a time.
struct WorkLogState {
  /// Epoch that the sequence numbers belong to.
  Epoch epoch;
  std::uint64_t sequence = 0;
  /// The append whose outcome is unknown; it is repeated until it is known.
  std::optional<AppendWork> in_flight;
  /// When `in_flight` was created.
  TimePoint in_flight_since;
  /// A timer is armed for the next append; later events do not postpone it.
  bool append_scheduled = false;
  /// An earlier attempt of `in_flight` may have been stored.
  bool may_be_stored = false;
  /// Retries are not sent before this time.
  TimePoint not_before;
  Duration retry_delay{};
  TimePoint last_sent;
  /// Listings of the records that this takeover began, and pages that it read.
  std::size_t listings = 0;
  /// The list is to be read again; a timer of an earlier takeover does not.
  bool awaits_load_retry = false;
  std::size_t pages = 0;

  /// Nodes whose recorded leader has ended.
  std::set<NodeName> ended_leaders;
  std::set<NodeName> in_flight_ended_leaders;
  /// Nodes of predecessors whose records are to be stored.
  std::set<NodeName> predecessors;
  std::set<NodeName> in_flight_predecessors;
  /// Contents of the next append: records of new and of forgotten submissions,
  /// changed submissions, and changed workers.
  std::vector<WorkRecord> accepted;
  std::set<SubmissionId> changed;
  std::set<HostName> workers;
  /// Contents of the append in flight.
  std::vector<SubmissionId> in_flight_accepted;
  /// Changed submissions and the state recorded for each, which may have
  /// changed since.
  std::map<SubmissionId, SubmissionState> in_flight_changed;
  std::map<HostName, std::uint64_t> in_flight_ends;
  std::set<HostName> in_flight_workers;

  /// When the store started to refuse appends or not to answer them; unset
  /// while appends succeed.
  std::optional<TimePoint> failing_since;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LEADERSHIP_H_
