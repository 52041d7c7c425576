#ifndef BASILSPREAD_CORE_INTERNAL_CONTEXT_H_
#define BASILSPREAD_CORE_INTERNAL_CONTEXT_H_

#include <string>
#include <string_view>
#include <utility>

#include "basilspread/core/effect.h"
#include "basilspread/core/state.h"
#include "basilspread/core/time.h"

namespace basilspread::internal {

/// What a concern works on while it handles one event.
struct Context {
  State& state;
  TimePoint now;
  Effects& effects;

  void Emit(Effect effect) { this->effects.push_back(std::move(effect)); }

  void ArmIn(TimerKind kind, Duration delay) {
    this->Emit(SetTimer{kind, this->now + delay});
  }

  void Log(LogLevel level, std::string_view part, std::string text) {
    this->Emit(WriteLine{level, part, std::move(text)});
  }
};

}  // namespace basilspread::internal

#endif  // BASILSPREAD_CORE_INTERNAL_CONTEXT_H_
