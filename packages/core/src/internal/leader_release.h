#ifndef BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_
#define BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_

#include "basilspread/core/submission_message.h"
#include "basilspread/core/time.h"
#include "internal/context.h"

/// How a leader gives up the leadership: peers that can reach the store end its
/// membership of the group.
namespace basilspread::internal::leader_release {

/// Asks the peers that may succeed to end this process's membership.
void RequestRelease(Context& context);
/// Handles a leader's request to end its membership.
void OnReleaseRequested(Context& context, const LeaderReport& report);
/// Handles the answer to a join that was sent at `sent_at`: the store is
/// reachable, so a requested release can be carried out.
void OnJoined(Context& context, TimePoint sent_at);
/// While leading: requests the release if the store has not answered for too
/// long.
void CheckStore(Context& context);

}  // namespace basilspread::internal::leader_release

#endif  // BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_
