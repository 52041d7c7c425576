#ifndef BASILSPREAD_CTL_SRC_REPORT_H_
#define BASILSPREAD_CTL_SRC_REPORT_H_

#include <string>
#include <vector>

#include "basilspread/config/table_diff.h"
#include "basilspread/core/error.h"
#include "exit_status.h"

namespace basilspread::ctl {

/// Prints an error to standard error and returns the exit status of its kind.
ExitStatus Fail(const Error& error);

/// Prints a warning to standard error.
void Warn(const std::string& sentence);

/// Formats the differences as text, one per line.
std::string ToText(const std::vector<config::TableDifference>& differences);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_REPORT_H_
