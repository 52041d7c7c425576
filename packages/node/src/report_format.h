#ifndef BASILSPREAD_NODE_REPORT_FORMAT_H_
#define BASILSPREAD_NODE_REPORT_FORMAT_H_

#include <string>

#include "basilspread/core/report.h"

namespace basilspread::node {

/// Formats a report as a JSON object with an array of rows per section.
std::string FormatJson(const StateReport& report);

/// Formats a report as text, with a titled table per section and aligned
/// columns.
std::string FormatText(const StateReport& report);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_REPORT_FORMAT_H_
