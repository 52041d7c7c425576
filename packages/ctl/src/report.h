#ifndef BASILSPREAD_CTL_SRC_REPORT_H_
#define BASILSPREAD_CTL_SRC_REPORT_H_

#include <string>
#include <vector>

#include "basilspread/config/table_diff.h"
#include "basilspread/core/error.h"
#include "exit_status.h"

namespace basilspread::ctl {

/// Tells a fault on standard error; the status that goes with its kind.
ExitStatus Fail(const Error& error);

/// Tells a warning on standard error.
void Warn(const std::string& sentence);

/// The differences for people, one a line.
std::string ToText(const std::vector<config::TableDifference>& differences);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_REPORT_H_
