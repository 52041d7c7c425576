#ifndef BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_
#define BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Decides whether this process is a candidate, that is, joins the group and
/// can be given the leadership. Processes that no candidate outranks are
/// candidates; the others only follow, and join when there is no leader.
namespace basilspread::internal::candidacy {

void Start(Context& context);
/// Whether this process is a candidate.
bool IsSelfCandidate(const Context& context);
void OnTimer(Context& context);
/// Whether this process is no candidate and has not learned yet who leads and
/// who the candidates are.
bool IsUndecided(const Context& context);
/// Handles that the group still lists an earlier run of this process.
void OnEarlierRun(Context& context);
/// Returns the time until the next call of OnTimer, at most `interval`.
Duration NextCheckDelay(const Context& context, Duration interval);
/// Handles a read of the group's owner, which is the leader.
void OnOwnerRead(Context& context, bool is_vacant);
/// Handles the leader's list of candidates.
void OnReport(Context& context, const LeaderReport& report);
/// On the leader: handles the candidacy part of a helper's report.
void OnHelper(Context& context, Helper& helper, const HelperReport& report);
/// Adds the candidates to the leader's own report.
void Describe(Context& context, LeaderReport& report);
/// Returns the candidacy part of this process's report to the leader.
HelperReport DescribeSelf(const Context& context);

/// Handles the leader's request for a successor.
void OnSuccessorRequested(Context& context);
/// Whether a peer may succeed this process: no candidate outranks it.
bool MaySucceed(const Context& context, const NodeName& peer);
/// Handles that the leader's host refuses connections. Returns whether this
/// process may end the leader's membership now; only candidates do so at once.
bool MayEndMembership(Context& context);
/// While leading: yields to a candidate that outranks this process, or that has
/// more spare capacity while this process is overloaded.
void CheckYield(Context& context);

}  // namespace basilspread::internal::candidacy

#endif  // BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_
