#include "basilspread/core/log_line.h"

#include <fmt/format.h>

#include <utility>

namespace basilspread {

LogField::LogField(std::string_view field_key, std::string text)
    : key(field_key), value(std::move(text)) {}

LogField::LogField(std::string_view field_key, std::string_view text)
    : key(field_key), value(text) {}

LogField::LogField(std::string_view field_key, const char* text)
    : key(field_key), value(text) {}

LogField::LogField(std::string_view field_key, bool truth)
    : key(field_key), value(truth ? "true" : "false"), is_literal(true) {}

LogField::LogField(std::string_view field_key, double number)
    : key(field_key), value(fmt::format("{:.3f}", number)), is_literal(true) {}

LogField::LogField(std::string_view field_key, Duration duration)
    : LogField(field_key,
               std::chrono::duration<double, std::milli>(duration).count()) {}

}  // namespace basilspread
