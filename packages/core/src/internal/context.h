#ifndef BASILSPREAD_CORE_INTERNAL_CONTEXT_H_
#define BASILSPREAD_CORE_INTERNAL_CONTEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilspread/core/effect.h"
#include "basilspread/core/state.h"
#include "basilspread/core/time.h"

namespace basilspread::internal {

/// The state, the current time and the collected effects while one event is
/// handled.
struct Context {
  State& state;
  TimePoint now;
  Effects& effects;

  void Emit(Effect effect) { this->effects.push_back(std::move(effect)); }
  void ArmIn(TimerKind kind, Duration delay);

  void Log(LogLevel level, std::string_view part, std::string_view message,
           std::vector<LogField> fields = {});

  void Count(Metric metric, std::string_view label = "", double amount = 1);
  void Observe(Metric metric, Duration time, std::string_view label = "");
};

}  // namespace basilspread::internal

#endif  // BASILSPREAD_CORE_INTERNAL_CONTEXT_H_
