#ifndef BASILSPREAD_CONFIG_TABLE_WARNINGS_H_
#define BASILSPREAD_CONFIG_TABLE_WARNINGS_H_

#include <string>
#include <vector>

#include "basilspread/core/host.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Sentences on rows that are valid but surely not meant so, as far as the
/// tables alone show it.
std::vector<std::string> FindTableWarnings(const Tables& tables);

/// The same for what the platform's host list shows.
std::vector<std::string> FindHostWarnings(const Tables& tables,
                                          const std::vector<Host>& hosts);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLE_WARNINGS_H_
