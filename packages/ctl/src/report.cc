#include "report.h"

#include <fmt/format.h>

#include <cstdio>

namespace basilspread::ctl {

ExitStatus Fail(const Error& error) {
  fmt::print(stderr, "basilctl: {}: {}\n", AnswerFor(error.kind).name,
             error.detail);
  switch (error.kind) {
    case ErrorKind::kBadRequest:
    case ErrorKind::kTooLarge:
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kInvalidTables:
      return ExitStatus::kBadInput;
    case ErrorKind::kConflict:
      return ExitStatus::kEditConflict;
    case ErrorKind::kLogUnavailable:
    case ErrorKind::kOwnerUnreachable:
      return ExitStatus::kUnreachable;
    case ErrorKind::kOutcomeUnknown:
      return ExitStatus::kTimeout;
    default:
      return ExitStatus::kFailure;
  }
}

void Warn(const std::string& sentence) {
  fmt::print(stderr, "basilctl: warning: {}\n", sentence);
}

std::string ToText(const std::vector<config::TableDifference>& differences) {
  std::string text;
  for (const config::TableDifference& difference : differences) {
    if (difference.key.empty()) {
      text += fmt::format("{} [{}] {}\n", difference.table, difference.section,
                          difference.after.empty() ? "removed" : "added");
      continue;
    }
    text += fmt::format("{} [{}] {}: {} -> {}\n", difference.table,
                        difference.section, difference.key,
                        difference.before.empty() ? "-" : difference.before,
                        difference.after.empty() ? "-" : difference.after);
  }
  return text;
}

}  // namespace basilspread::ctl
