#include "platform/wire/body.h"

#include <Poco/JSONString.h>
#include <fmt/format.h>

namespace standin::wire {

std::string Quote(const std::string& text) { return Poco::toJSON(text); }

std::string ListOf(const std::vector<std::string>& values) {
  return fmt::format("[{}]", fmt::join(values, ","));
}

std::int64_t ToMilliseconds(basilspread::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace standin::wire
