#ifndef BASILSPREAD_CORE_INTERNAL_RELAYS_H_
#define BASILSPREAD_CORE_INTERNAL_RELAYS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/fleet.h"
#include "basilspread/core/relay_message.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// The leader's calls to workers through relays, which are processes in the
/// workers' zones where possible. Decisions, fences and leases stay with the
/// leader.
namespace basilspread::internal::relays {

/// Sends a call through the worker's relay, or directly if no relay is usable.
void Send(Context& context, FleetWorker& worker, WorkerOrder order);
/// Sends the calls gathered during the current event, one message per relay.
void Flush(Context& context);

/// Returns by how much open relayed calls may take longer than direct ones;
/// zero if none is open.
Duration MaxExtraCallTime(const Context& context);

void OnReports(Context& context, const ProcessId& from,
               const RelayReports& message);
/// Ends the calls of a message that was not sent as not sent, and pauses the
/// relay.
void OnMessageNotSent(Context& context, const PeerMessageNotSent& event);
/// Handles the relay part of a helper's report.
void OnHelper(Context& context, Helper& helper, const HelperReport& report);
void OnLinked(Context& context);
/// Handles the end of a helper process or of the connection to it.
void OnHelperGone(Context& context, const NodeName& node);
/// Gives up the calls whose report is overdue and ends expired pauses.
void OnTimer(Context& context);

}  // namespace basilspread::internal::relays

#endif  // BASILSPREAD_CORE_INTERNAL_RELAYS_H_
