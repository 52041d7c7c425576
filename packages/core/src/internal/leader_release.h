#ifndef BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_
#define BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_

#include "basilspread/core/submission_message.h"
#include "basilspread/core/time.h"
#include "internal/context.h"

/// How a leader gives the leadership up: the peers that the store answers end
/// its membership of the group.
namespace basilspread::internal::leader_release {

/// Asks the peers that may succeed to end this process's membership.
void Ask(Context& context);
/// A leader asks this process.
void OnAsked(Context& context, const LeaderReport& report);
/// A join that was sent at this point has been answered.
void OnJoined(Context& context, TimePoint sent_at);
/// While leading: asks for the release when the store has been silent for too
/// long.
void CheckStore(Context& context);

}  // namespace basilspread::internal::leader_release

#endif  // BASILSPREAD_CORE_INTERNAL_LEADER_RELEASE_H_
