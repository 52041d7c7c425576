#include "line_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace basilspread::node {
namespace {

std::atomic<LogLevel> minimum_level = LogLevel::kInfo;

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

}  // namespace

void SetLogLevel(LogLevel level) { minimum_level = level; }

LogLevel LogLevelNamed(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kWarning, LogLevel::kError}) {
    if (NameOf(level) == name) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

void Log(LogLevel level, std::string_view part, std::string_view text) {
  if (level < minimum_level) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  // One write a line keeps the lines of several threads apart.
  const std::string line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis, NameOf(level), part, text);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace basilspread::node
