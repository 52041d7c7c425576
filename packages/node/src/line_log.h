#ifndef BASILSPREAD_NODE_LINE_LOG_H_
#define BASILSPREAD_NODE_LINE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/log_line.h"

namespace basilspread::node {

/// Identity of the process, for its log lines.
struct LogIdentity {
  std::string node;
  std::uint64_t incarnation = 0;
};

/// Runs the thread that writes the log lines; lines logged before are queued. A
/// process creates one session, before it starts other threads.
class LogSession {
 public:
  /// Drops lines below the level.
  LogSession(LogLevel level, const LogIdentity& identity);
  ~LogSession() { this->End(); }
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  /// Writes the queued lines, within a bounded time if the reader of standard
  /// output is stalled, and ends the thread.
  void End();
};

/// Changes the minimum level. May be called from any thread.
void SetLogLevel(LogLevel level);

/// The level with this name in the settings; kInfo if the name is unknown.
LogLevel LogLevelNamed(std::string_view name);

/// Queues a line for standard output, as a JSON object. Never blocks: lines
/// that exceed the rate limit of their kind or the queue's size are dropped and
/// counted, and the counts are logged at most once a second.
void Log(const LogLine& line);
void Log(LogLevel level, std::string_view part, std::string_view message,
         std::vector<LogField> fields = {});

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LINE_LOG_H_
