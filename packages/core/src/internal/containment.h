#ifndef BASILSPREAD_CORE_INTERNAL_CONTAINMENT_H_
#define BASILSPREAD_CORE_INTERNAL_CONTAINMENT_H_

#include <functional>

#include "basilspread/core/event.h"
#include "internal/context.h"

/// Limits an unexpected error to the event whose handling caused it.
namespace basilspread::internal::containment {

/// Runs the handler of the event. If it throws, the error is logged and
/// counted, a caller whose call the event brought is told that its outcome is
/// unknown, a timer is armed again, and a leader gives up the leadership.
void Run(Context& context, const Event& event,
         const std::function<void()>& handler);

}  // namespace basilspread::internal::containment

#endif  // BASILSPREAD_CORE_INTERNAL_CONTAINMENT_H_
