#ifndef BASILSPREAD_NODE_REPORT_FORMAT_H_
#define BASILSPREAD_NODE_REPORT_FORMAT_H_

#include <string>

#include "basilspread/core/report.h"

namespace basilspread::node {

/// One object with an array of rows for each section.
std::string FormatJson(const StateReport& report);

/// Titled tables with aligned columns.
std::string FormatText(const StateReport& report);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_REPORT_FORMAT_H_
