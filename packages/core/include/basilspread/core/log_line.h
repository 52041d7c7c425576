#ifndef BASILSPREAD_CORE_LOG_LINE_H_
#define BASILSPREAD_CORE_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One named value of a log line.
struct LogField {
  LogField(std::string_view field_key, std::string text);
  LogField(std::string_view field_key, std::string_view text);
  LogField(std::string_view field_key, const char* text);
  LogField(std::string_view field_key, bool value);
  LogField(std::string_view field_key, double value);
  /// Written in milliseconds; the key must end in "_ms".
  LogField(std::string_view field_key, Duration value);
  template <std::integral Number>
  LogField(std::string_view field_key, Number number)
      : key(field_key), value(std::to_string(number)), is_literal(true) {}

  /// Must outlive the LogField; usually a string literal.
  std::string_view key;
  std::string value;
  /// Whether the value is a number or a Boolean, which is written unquoted.
  bool is_literal = false;
};

/// One line of a process's log.
struct LogLine {
  LogLevel level = LogLevel::kInfo;
  /// The component that logs the line.
  std::string_view part;
  /// A sentence that names the kind of event; must outlive the line.
  std::string_view message;
  std::vector<LogField> fields;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_LOG_LINE_H_
