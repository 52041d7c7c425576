#ifndef BASILSPREAD_CORE_INTERNAL_RELAY_AGENT_H_
#define BASILSPREAD_CORE_INTERNAL_RELAY_AGENT_H_

#include "basilspread/core/event.h"
#include "basilspread/core/relay_message.h"
#include "basilspread/core/submission_message.h"
#include "internal/context.h"

/// Calls to workers that this process makes as a relay of the leader.
namespace basilspread::internal::relay_agent {

/// Returns this process's report to the leader.
HelperReport Describe(Context& context);

void OnOrders(Context& context, const ProcessId& from,
              const RelayOrders& message);
void OnOrdered(Context& context, const RunOrdered& event);
void OnPolled(Context& context, const WorkerPolled& event);
/// Sends the gathered results to the leader.
void OnTimer(Context& context);
/// Drops all calls and results if the lost connection was the leader's.
void OnLinkLost(Context& context, const NodeName& node);

/// Whether no call is open and no result is waiting to be sent.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::relay_agent

#endif  // BASILSPREAD_CORE_INTERNAL_RELAY_AGENT_H_
