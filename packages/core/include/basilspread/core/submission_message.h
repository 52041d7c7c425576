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

/// Passes a caller's call on to the leader.
struct SubmissionCall {
  CallId call;
  SubmissionOperation operation = SubmissionOperation::kStatus;
  RouteName route;
  SubmissionId id;
  /// Set with kSubmit.
  SubmissionSpecPtr spec;
};

/// The leader's answer, or that of the process itself.
struct SubmissionAnswer {
  CallId call;
  /// What was asked; known to the process whose caller waits.
  SubmissionOperation operation = SubmissionOperation::kStatus;
  ErrorKind kind = ErrorKind::kNone;
  SubmissionState state = SubmissionState::kQueued;
  /// With kCountWaiting.
  std::uint32_t waiting = 0;
  /// When the caller may try again; zero: not stated.
  Duration retry_after{};
};

/// Tells the leader that a process can ask for advice on its behalf, and
/// whether it could lead and can make calls to workers.
struct HelperReport {
  /// Where the leader connects to.
  std::string address;
  Capacity capacity = {};
  /// Whether it is a member of the group.
  bool is_candidate = false;
  /// Share of the last second that its control thread was busy.
  double busy_share = 0;
  ZoneName zone = {};
  bool carries_calls = false;
  /// Has heard nothing of the leader lately, and asks for a sign.
  bool misses_leader = false;
};

/// A process that may come to lead.
struct Candidate {
  NodeName node;
  Capacity capacity;
};

/// Who leads, as far as the sender knows. The leader's own report names the
/// group's live members, so that a process that is cut off from the store can
/// ask them.
struct LeaderReport {
  /// Texts of group members; see ToString(GroupMember).
  std::string leader;
  std::vector<std::string> members;
  /// Only in the leader's own report: itself and the other members of the
  /// group.
  std::vector<Candidate> candidates;
  /// The group's generation at which the sender knew it.
  std::uint64_t generation = 0;
  /// The sender leads and gives it up, since it stops or the store does not
  /// answer it: the receiver ends its membership if the store answers there.
  bool releases = false;
};

/// The leader has a process ask the advisor.
struct AdviceCall {
  AskAdvice ask;
};

struct AdviceAnswer {
  AdviceGiven given;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SUBMISSION_MESSAGE_H_
