#ifndef BASILSPREAD_CORE_SUBMISSION_MESSAGE_H_
#define BASILSPREAD_CORE_SUBMISSION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/capacity.h"
#include "basilspread/core/error.h"
#include "basilspread/core/fleet_call.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Forwards a caller's request to the leader.
struct SubmissionCall {
  CallId call;
  SubmissionOperation operation = SubmissionOperation::kStatus;
  RouteName route;
  SubmissionId id;
  /// Set with kSubmit.
  SubmissionSpecPtr spec;
  /// Workspace of the caller's key; empty for a caller without one.
  WorkspaceName workspace = {};
};

/// Response to a SubmissionCall, from the leader or from the process itself.
struct SubmissionAnswer {
  CallId call;
  /// Operation of the call; set only at the process that holds the caller.
  SubmissionOperation operation = SubmissionOperation::kStatus;
  ErrorKind kind = ErrorKind::kNone;
  SubmissionState state = SubmissionState::kQueued;
  /// Set with kCountWaiting.
  std::uint32_t waiting = 0;
  /// Delay after which the caller may retry; zero when not stated.
  Duration retry_after{};
  /// Cause of kNotSupported; set only at the process that holds the caller.
  UnsupportedFeature unsupported = UnsupportedFeature::kNone;
};

/// The leader's acknowledgement of a HelperReport. The next report repeats it,
/// which shows the leader that at `sent_at` the helper followed no later one.
struct LeaderAck {
  /// Epoch of the leader's takeover; 0: no acknowledgement.
  Epoch epoch;
  /// On the leader's clock.
  TimePoint sent_at;
  /// HelperReport::sent_at of the report.
  TimePoint report_sent_at;
};

/// A leader that has acknowledged a report of the sender.
struct AcknowledgingLeader {
  ProcessId process;
  /// Time since the sender made that report.
  Duration age{};
};

/// Offers the leader to query the advisor on its behalf, and states whether the
/// sender can lead and can make calls to workers.
struct HelperReport {
  /// Address that the leader connects to.
  std::string address;
  Capacity capacity = {};
  /// Whether the sender is a member of the leader group.
  bool is_candidate = false;
  /// Share of the last second that the sender's control thread was busy.
  double busy_share = 0;
  ZoneName zone = {};
  bool carries_calls = false;
  /// The sender has not heard from the leader lately and requests a response.
  bool misses_leader = false;
  /// On the sender's clock.
  TimePoint sent_at = {};
  /// The receiver's latest acknowledgement; without an epoch if the sender has
  /// none, or knows of a higher epoch.
  LeaderAck ack = {};
  /// The sender stops: it neither leads any more nor vouches for a leader.
  bool is_stopping = false;
  /// Highest epoch of a leader that the sender knows of.
  Epoch highest_epoch = {};
  /// Leaders, also former ones, that have lately counted on the sender.
  std::vector<AcknowledgingLeader> acknowledged_by = {};
};

/// A process that may become the leader.
struct Candidate {
  NodeName node;
  Capacity capacity;
};

/// The current leader, as known to the sender. The leader's own report lists
/// the live members of the group, so that a process without access to the store
/// can query them.
struct LeaderReport {
  /// Encoded group members; see ToString(GroupMember).
  std::string leader;
  std::vector<std::string> members;
  /// The leader and the other members of the group; set only in the leader's
  /// own report.
  std::vector<Candidate> candidates;
  /// Generation of the group in which the sender learned of the leader.
  std::uint64_t generation = 0;
  /// The sender is the leader and steps down, because it stops or cannot reach
  /// the store. A receiver that can reach the store ends the sender's
  /// membership.
  bool releases = false;
  /// Set only by the leader, in the answer to a report of the receiver.
  LeaderAck ack = {};
};

/// Query to the advisor that the leader delegates to another process.
struct AdviceCall {
  AskAdvice ask;
};

/// Response to an AdviceCall.
struct AdviceAnswer {
  AdviceGiven given;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_MESSAGE_H_
