#ifndef BASILSPREAD_CORE_INTERNAL_HAND_RELAY_H_
#define BASILSPREAD_CORE_INTERNAL_HAND_RELAY_H_

#include "basilspread/core/event.h"
#include "basilspread/core/hand_message.h"
#include "basilspread/core/submission_message.h"
#include "internal/context.h"

/// The calls to workers that this process makes for the leader.
namespace basilspread::internal::hand_relay {

/// What this process tells the leader of itself.
HelperReport Describe(Context& context);

void OnOrders(Context& context, const ProcessId& from,
              const HandOrders& message);
void OnOrdered(Context& context, const RunOrdered& event);
void OnPolled(Context& context, const WorkerPolled& event);
/// Reports the calls that have ended.
void OnTimer(Context& context);
/// Reports have no way to the leader any longer.
void OnLinkLost(Context& context, const NodeName& node);

/// Whether no call is under way.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::hand_relay

#endif  // BASILSPREAD_CORE_INTERNAL_HAND_RELAY_H_
