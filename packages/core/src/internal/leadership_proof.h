#ifndef BASILSPREAD_CORE_INTERNAL_LEADERSHIP_PROOF_H_
#define BASILSPREAD_CORE_INTERNAL_LEADERSHIP_PROOF_H_

#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/submission_message.h"
#include "internal/context.h"

/// What shows this leader that it may still act. Leases are counted from the
/// latest proof and not from the time of their grant, so that a leader that
/// cannot prove its leadership lets them lapse while the next one waits.
namespace basilspread::internal::leadership_proof {

/// How long another leader may go on by its peers' word alone, while the store
/// does not answer, by the clock of this process.
Duration LongestTimeWithoutStore();
/// A process that made a report within this time before a takeover was still a
/// witness of the leader that acknowledged the report.
Duration WitnessPeriod();

/// Begins without any proof; called when a takeover begins or the leadership
/// ends.
void Reset(Context& context);
/// The store carried out an append of this epoch at or after `began`.
void OnAppended(Context& context, TimePoint began);
/// The group confirmed the membership by an answer to a join sent at `sent_at`.
/// Returns whether the answer shows that no other process has led meanwhile.
bool OnJoined(Context& context, TimePoint sent_at, bool has_group_changed);
/// Handles the proof in a helper's report, and acknowledges the report.
void OnReport(Context& context, const ProcessId& from,
              const HelperReport& report);
/// Times before the suspension tell nothing any more.
void OnResumed(Context& context);
void OnTimer(Context& context);

/// The latest time at which no later leader can have had a run started on a
/// worker that this one reaches; unset: none is known.
std::optional<TimePoint> ProvenAt(const Context& context);
/// Age of the latest proof, or of the takeover if there is none.
Duration TimeSinceProven(const Context& context);
/// Whether runs may be started: most of a lease is left.
bool MayStart(const Context& context);
/// Whether leases that this leader granted until `leased_until` have lapsed. By
/// the store's word only: a process that is no witness may lead meanwhile, and
/// renew the leases of runs that it adopted.
bool HaveLapsed(const Context& context, TimePoint leased_until);
/// Whether an append is needed to show that no other process has led.
bool NeedsAppend(const Context& context);

/// For a helper: handles the leader's acknowledgement of a report.
void OnAck(Context& context, const ProcessId& from, const LeaderAck& ack);
/// Adds to a report what a leader can rely on.
void Describe(const Context& context, HelperReport& report);
/// Whether a leader with a higher epoch than this is known.
bool IsOver(const Context& context, Epoch epoch);

}  // namespace basilspread::internal::leadership_proof

#endif  // BASILSPREAD_CORE_INTERNAL_LEADERSHIP_PROOF_H_
