#ifndef BASILSPREAD_NODE_LINE_LOG_H_
#define BASILSPREAD_NODE_LINE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/log_line.h"

namespace basilspread::node {

/// What every line of the process names.
struct LogIdentity {
  std::string node;
  std::uint64_t incarnation = 0;
};

/// Runs the thread that writes the lines; before it they are held. There is
/// one in a process, from before other threads start.
class LogSession {
 public:
  /// Lines below the level are dropped.
  LogSession(LogLevel level, const LogIdentity& identity);
  ~LogSession() { this->End(); }
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  /// Writes what is held, within a bounded time, and ends the thread.
  void End();
};

/// Changes the level from now on, from any thread.
void SetLogLevel(LogLevel level);

/// The level with this settings name; kInfo when there is none.
LogLevel LogLevelNamed(std::string_view name);

/// Queues one line for standard output, as a JSON object. Never waits: lines
/// beyond the limit of their kind, or beyond the queue, are counted instead,
/// and the counts are written once a second.
void Log(const LogLine& line);
void Log(LogLevel level, std::string_view part, std::string_view message,
         std::vector<LogField> fields = {});

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LINE_LOG_H_
