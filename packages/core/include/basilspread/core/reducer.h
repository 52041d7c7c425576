#ifndef BASILSPREAD_CORE_REDUCER_H_
#define BASILSPREAD_CORE_REDUCER_H_

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"

namespace basilspread {

/// Applies one event to the state and returns the resulting effects. It is
/// deterministic: it reads no clock, does no I/O and draws randomness only from
/// the state.
Effects Reduce(State& state, const Event& event);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REDUCER_H_
