#include "internal/context.h"

namespace basilspread::internal {

void Context::ArmIn(TimerKind kind, Duration delay) {
  this->Emit(SetTimer{kind, this->now + delay});
}

void Context::Log(LogLevel level, std::string_view part,
                  std::string_view message, std::vector<LogField> fields) {
  this->Emit(WriteLogLine{LogLine{level, part, message, std::move(fields)}});
}

void Context::Count(Metric metric, std::string_view label, double amount) {
  this->Emit(CountMetric{metric, std::string(label), amount});
}

void Context::Observe(Metric metric, Duration time, std::string_view label) {
  this->Emit(ObserveTime{metric, std::string(label), time});
}

}  // namespace basilspread::internal
