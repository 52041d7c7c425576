#ifndef BASILSPREAD_CORE_REDUCER_H_
#define BASILSPREAD_CORE_REDUCER_H_

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"

namespace basilspread {

/// Applies one event to the state and returns what is to be done about it.
/// Reads no clock, touches no socket and draws randomness from the state
/// only, so that equal events on equal states give equal effects.
Effects Reduce(State& state, const Event& event);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REDUCER_H_
