#ifndef BASILSPREAD_CONFIG_TABLE_WARNINGS_H_
#define BASILSPREAD_CONFIG_TABLE_WARNINGS_H_

#include <string>
#include <vector>

#include "basilspread/core/host.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Returns warnings about rows that are valid but probably unintended, as far
/// as the tables alone show.
std::vector<std::string> FindTableWarnings(const Tables& tables);

/// Returns warnings about rows that do not fit the platform's host list.
std::vector<std::string> FindHostWarnings(const Tables& tables,
                                          const std::vector<Host>& hosts);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLE_WARNINGS_H_
