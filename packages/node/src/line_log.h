#ifndef BASILSPREAD_NODE_LINE_LOG_H_
#define BASILSPREAD_NODE_LINE_LOG_H_

#include <string>
#include <string_view>

#include "basilspread/core/effect.h"

namespace basilspread::node {

/// Lines below this level are dropped. Set once, before other threads start.
void SetLogLevel(LogLevel level);

/// The level with this settings name; kInfo when there is none.
LogLevel LogLevelNamed(std::string_view name);

/// Writes one line to standard error: time, level, part, text.
void Log(LogLevel level, std::string_view part, std::string_view text);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LINE_LOG_H_
