#ifndef BASILSPREAD_CORE_INTERNAL_OTHER_RUNS_H_
#define BASILSPREAD_CORE_INTERNAL_OTHER_RUNS_H_

#include <utility>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Messages for one run of a process only. Processes of a node have the same
/// name and address, so that the next one receives what its predecessor was
/// sent.
namespace basilspread::internal::other_runs {

/// Sends the message to this run of the process; no other run handles it.
template <typename Message>
void Send(Context& context, const ProcessId& to, Message&& message) {
  context.Emit(
      SendToPeer{to.node, std::forward<Message>(message), to.incarnation});
}

/// Whether the message is for another run of this process.
bool IsForOther(const Context& context, const PeerReceived& event);

/// Drops the message. A caller is told that its call was declined.
void Drop(Context& context, const PeerReceived& event);

}  // namespace basilspread::internal::other_runs

#endif  // BASILSPREAD_CORE_INTERNAL_OTHER_RUNS_H_
