#include "internal/candidacy.h"

#include <algorithm>

#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/submission_calls.h"

namespace basilspread::internal::candidacy {
namespace {

constexpr std::string_view kPart = "leadership";
/// Delay before a process with a whole core joins a group that has no leader;
/// longer in inverse proportion for a smaller share of a core. Five times the
/// duration of a read of the owner, so that the next process already reads that
/// there is a leader.
constexpr Duration kVacancyDelay = std::chrono::milliseconds(25);
/// A leader that has not answered reports for this long is unreachable: three
/// report intervals.
constexpr Duration kReportTimeout = std::chrono::seconds(3);
/// A process that starts may read a leader that has already ended. Until it is
/// decided it reads the owner at this interval, the same at which members join
/// after a change of the group.
constexpr Duration kUndecidedInterval = std::chrono::milliseconds(50);
/// Every helper reports within this time; see kReportInterval in
/// submission_calls.cc.
constexpr Duration kReportPeriod = std::chrono::seconds(1);
constexpr Duration kHelperTimeout = std::chrono::seconds(3);
/// A leader with this queueing delay cannot serve callers that need their work
/// started within 250 ms.
constexpr Duration kOverloadDelay = std::chrono::milliseconds(250);
/// An overload must last this long without a break; bursts are shorter.
constexpr Duration kOverloadPeriod = std::chrono::seconds(3);

CandidacyState& StateOf(Context& context) {
  return context.state.submissions.leadership.candidacy;
}

const Capacity& OwnCapacity(const Context& context) {
  return context.state.settings.capacity;
}

/// The smaller its share of a core, the longer a process leaves a vacancy to
/// others.
Duration VacancyDelay(const Context& context) {
  const double share = OwnCapacity(context).processor_share;
  if (share <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kVacancyDelay) / std::min(share, 1.0));
}

void BecomeCandidate(Context& context, std::string_view reason) {
  CandidacyState& state = StateOf(context);
  state.is_candidate = true;
  state.vacant_since.reset();
  state.refused_since.reset();
  state.yielded_to.reset();
  context.Log(LogLevel::kInfo, kPart, "Joins the group.",
              {{"reason", reason},
               {"processor_share", OwnCapacity(context).processor_share},
               {"link_mbps", OwnCapacity(context).link_mbps}});
  leadership::Join(context);
  submission_calls::Report(context);
}

void Withdraw(Context& context, const Candidate& other) {
  StateOf(context).is_candidate = false;
  context.Log(LogLevel::kInfo, kPart,
              "Leaves the group: another candidate is stronger.",
              {{"candidate", other.node.value},
               {"processor_share", other.capacity.processor_share},
               {"link_mbps", other.capacity.link_mbps}});
  leadership::LeaveGroupOnly(context);
  submission_calls::Report(context);
}

bool HasReportedRecently(const Context& context, const Helper& helper) {
  return own_load::CaughtUpTo(context) < helper.heard_at + kHelperTimeout;
}

/// Whether a helper is a member of the group and could take over.
bool IsCandidate(const Context& context, const Helper& helper) {
  return helper.is_candidate && !helper.address.empty() &&
         HasReportedRecently(context, helper);
}

/// Whether another candidate has more unused processor capacity than this
/// process has in total, and at least its link bandwidth.
bool HasMoreSpareCapacity(const Context& context, const Helper& helper) {
  const Capacity& own = OwnCapacity(context);
  const double spare =
      helper.capacity.processor_share * (1 - helper.busy_share);
  return own.processor_share > 0 && spare > own.processor_share &&
         helper.capacity.link_mbps >= own.link_mbps;
}

bool IsOverloaded(const Context& context) {
  const auto& since =
      context.state.submissions.leadership.candidacy.overloaded_since;
  return since && context.now >= *since + kOverloadPeriod;
}

void TrackOverload(Context& context) {
  CandidacyState& state = StateOf(context);
  if (own_load::StandingDelay(context) < kOverloadDelay) {
    state.overloaded_since.reset();
  } else if (!state.overloaded_since) {
    state.overloaded_since = context.now;
  }
}

/// Returns the strongest candidate to which this leader should yield; null if
/// there is none.
const Helper* FindSuccessor(const Context& context) {
  const Helper* best = nullptr;
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    const bool is_better =
        Outranks(helper.capacity, OwnCapacity(context)) ||
        (IsOverloaded(context) && HasMoreSpareCapacity(context, helper));
    if (!IsCandidate(context, helper) || !is_better) {
      continue;
    }
    if (best == nullptr ||
        helper.capacity.processor_share > best->capacity.processor_share) {
      best = &helper;
    }
  }
  return best;
}

/// Whether candidates weaker than the successor remain, since the group could
/// give one of them the leadership instead.
bool HasWeakerCandidates(const Context& context, const Helper& successor) {
  const auto& helpers = context.state.submissions.helpers;
  return std::any_of(helpers.begin(), helpers.end(), [&](const auto& entry) {
    return IsCandidate(context, entry.second) &&
           Outranks(successor.capacity, entry.second.capacity);
  });
}

}  // namespace

void Start(Context& context) {
  CandidacyState& state = StateOf(context);
  state.began = context.now;
  // If the capacity is not configured, every process is a candidate.
  state.is_candidate = !IsStated(OwnCapacity(context));
}

bool IsSelfCandidate(const Context& context) {
  return context.state.submissions.leadership.candidacy.is_candidate;
}

void OnTimer(Context& context) {
  CandidacyState& state = StateOf(context);
  const LeadershipState& leadership = context.state.submissions.leadership;
  if (state.is_candidate || context.state.stopping) {
    return;
  }
  const TimePoint heard_until = own_load::CaughtUpTo(context);
  const Duration delay = VacancyDelay(context);
  if (!state.candidates_known &&
      heard_until >= state.began + kReportTimeout + delay) {
    BecomeCandidate(context, "no leader has reported the candidates");
    return;
  }
  const bool is_refused = leadership.leader && state.refused_since &&
                          heard_until >= *state.refused_since + delay;
  if (is_refused) {
    state.refused_since.reset();
    leadership::EndMembership(context, *leadership.leader,
                              "its host refuses connections");
  }
}

bool IsUndecided(const Context& context) {
  const auto& state = context.state.submissions.leadership.candidacy;
  return !state.is_candidate && !state.candidates_known &&
         !context.state.stopping;
}

void OnEarlierRun(Context& context) {
  if (!IsSelfCandidate(context) && !context.state.stopping) {
    // Only candidates are members.
    BecomeCandidate(context, "an earlier run of this process was a member");
  }
}

Duration NextCheckDelay(const Context& context, Duration interval) {
  const CandidacyState& state = context.state.submissions.leadership.candidacy;
  if (state.is_candidate) {
    return interval;
  }
  if (IsUndecided(context)) {
    interval = std::min(interval, kUndecidedInterval);
  }
  const auto& since =
      state.vacant_since ? state.vacant_since : state.refused_since;
  if (!since) {
    return interval;
  }
  const TimePoint due = *since + VacancyDelay(context);
  return due > context.now ? std::min(due - context.now, interval) : interval;
}

void OnOwnerRead(Context& context, bool is_vacant) {
  CandidacyState& state = StateOf(context);
  if (!is_vacant || state.is_candidate || context.state.stopping) {
    state.vacant_since.reset();
    return;
  }
  if (!state.vacant_since) {
    state.vacant_since = context.now;
    context.ArmIn(TimerKind::kLeadership, VacancyDelay(context));
  }
  const TimePoint heard_until = own_load::CaughtUpTo(context);
  if (heard_until >= *state.vacant_since + VacancyDelay(context)) {
    BecomeCandidate(context, "the group has no leader");
  }
}

void OnReport(Context& context, const LeaderReport& report) {
  CandidacyState& state = StateOf(context);
  const LeadershipState& leadership = context.state.submissions.leadership;
  if (report.candidates.empty() || leadership.holds_leadership ||
      context.state.stopping) {
    return;
  }
  state.candidates_known = true;
  const auto stronger =
      std::find_if(report.candidates.begin(), report.candidates.end(),
                   [&context](const Candidate& candidate) {
                     return Outranks(candidate.capacity, OwnCapacity(context));
                   });
  if (stronger != report.candidates.end()) {
    if (state.is_candidate) {
      Withdraw(context, *stronger);
    }
    return;
  }
  const bool has_yielded = leadership.leader && state.yielded_to &&
                           leadership.leader->process.node == *state.yielded_to;
  if (!state.is_candidate && !has_yielded) {
    BecomeCandidate(context, "no candidate is clearly stronger");
  }
}

void OnHelper(Context& context, Helper& helper, const HelperReport& report) {
  if (helper.is_candidate != report.is_candidate ||
      helper.capacity != report.capacity) {
    ++context.state.submissions.helper_changes;
  }
  helper.is_candidate = report.is_candidate;
  helper.capacity = report.capacity;
  helper.busy_share = report.busy_share;
}

void Describe(Context& context, LeaderReport& report) {
  report.candidates.push_back(
      {context.state.settings.self.node, OwnCapacity(context)});
  for (const auto& [node, helper] : context.state.submissions.helpers) {
    if (IsCandidate(context, helper)) {
      report.candidates.push_back({node, helper.capacity});
    }
  }
}

HelperReport DescribeSelf(const Context& context) {
  const LeadershipState& state = context.state.submissions.leadership;
  HelperReport report;
  report.address = context.state.settings.peer_address;
  report.capacity = OwnCapacity(context);
  // A process that is cut off from the store cannot be given the leadership.
  report.is_candidate = state.candidacy.is_candidate && !state.joins_fail_since;
  report.busy_share = own_load::BusyShare(context);
  report.misses_leader = leadership::MissesLeader(context);
  return report;
}

void OnSuccessorRequested(Context& context) {
  if (!IsSelfCandidate(context)) {
    BecomeCandidate(context, "the leader requested a successor");
  }
}

bool MaySucceed(const Context& context, const NodeName& peer) {
  const auto& helpers = context.state.submissions.helpers;
  const auto found = helpers.find(peer);
  if (found == helpers.end()) {
    return true;
  }
  return std::none_of(helpers.begin(), helpers.end(), [&](const auto& entry) {
    return IsCandidate(context, entry.second) &&
           Outranks(entry.second.capacity, found->second.capacity);
  });
}

bool MayEndMembership(Context& context) {
  CandidacyState& state = StateOf(context);
  if (!state.is_candidate && !state.refused_since) {
    state.refused_since = context.now;
    context.ArmIn(TimerKind::kLeadership, VacancyDelay(context));
  }
  return state.is_candidate;
}

void CheckYield(Context& context) {
  const LeadershipState& leadership = context.state.submissions.leadership;
  if (!leadership.holds_leadership || context.state.stopping) {
    StateOf(context).overloaded_since.reset();
    return;
  }
  TrackOverload(context);
  if (context.now < leadership.gained_at + kReportPeriod) {
    return;
  }
  const Helper* successor = FindSuccessor(context);
  if (successor == nullptr || HasWeakerCandidates(context, *successor)) {
    return;
  }
  context.Log(LogLevel::kInfo, kPart,
              "Yields the leadership to a stronger process.",
              {{"successor", successor->process.node.value},
               {"processor_share", successor->capacity.processor_share},
               {"own_share", OwnCapacity(context).processor_share},
               {"own_delay_ms", own_load::StandingDelay(context)},
               {"is_starved", IsOverloaded(context)}});
  StateOf(context).is_candidate = false;
  StateOf(context).yielded_to = successor->process.node;
  leadership::Leave(context, "a stronger process is a candidate");
}

}  // namespace basilspread::internal::candidacy
