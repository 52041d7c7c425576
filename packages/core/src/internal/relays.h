#ifndef BASILSPREAD_CORE_INTERNAL_RELAYS_H_
#define BASILSPREAD_CORE_INTERNAL_RELAYS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/fleet.h"
#include "basilspread/core/relay_message.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// The leader's calls to workers, which processes of the workers' zones make
/// for it: its hands. What is decided, the fence and the leases stay here.
namespace basilspread::internal::relays {

/// Has the worker's hand make the call, or this process while there is none.
void Send(Context& context, FleetWorker& worker, WorkerOrder order);
/// Sends what the event that was handled had gathered, a message a hand.
void Flush(Context& context);

/// What calls that are under way may take longer than the leader's own; zero
/// without any.
Duration TimeOfWay(const Context& context);

void OnReports(Context& context, const ProcessId& from,
               const RelayReports& message);
/// Calls that surely did not leave are made through another process.
void OnMessageNotSent(Context& context, const PeerMessageNotSent& event);
/// Takes in what a process says that it can do.
void OnHelper(Context& context, Helper& helper, const HelperReport& report);
void OnLinked(Context& context);
/// The process or the connection to it has ended.
void OnHelperGone(Context& context, const NodeName& node);
/// Gives up the calls whose report is overdue.
void OnTimer(Context& context);

}  // namespace basilspread::internal::relays

#endif  // BASILSPREAD_CORE_INTERNAL_RELAYS_H_
