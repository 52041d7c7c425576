#ifndef BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_
#define BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Whether this process joins the group, so that it can come to lead: those do
/// that no other candidate outranks. The others follow, and join when nobody
/// leads any more.
namespace basilspread::internal::candidacy {

void Start(Context& context);
/// Whether this process joins the group.
bool IsSelfCandidate(const Context& context);
void OnTimer(Context& context);
/// Whether this process has yet to learn who leads and who stands.
bool IsUndecided(const Context& context);
/// The group still names an earlier run of this process.
void OnEarlierRun(Context& context);
/// When OnTimer is to be called at the latest.
Duration NextCheck(const Context& context, Duration interval);
/// The group's owner was read.
void OnOwnerRead(Context& context, bool is_vacant);
/// The leader tells who stands.
void OnReport(Context& context, const LeaderReport& report);
/// A helper of the leader reports.
void OnHelper(Context& context, Helper& helper, const HelperReport& report);
/// Names the candidates in the leader's own report.
void Describe(Context& context, LeaderReport& report);
HelperReport DescribeSelf(const Context& context);

/// The leader asks this process to take its place.
void OnAsked(Context& context);
/// Whether a peer may succeed this process: no other peer outranks it.
bool MaySucceed(const Context& context, const NodeName& peer);
/// The leader's host refuses connections; whether this process ends the
/// leader's membership, or leaves that to those that can lead.
bool MayEndMembership(Context& context);
/// While leading: makes way for a process that outranks this one, or that is
/// stronger while this one cannot keep up.
void CheckSuccession(Context& context);

}  // namespace basilspread::internal::candidacy

#endif  // BASILSPREAD_CORE_INTERNAL_CANDIDACY_H_
