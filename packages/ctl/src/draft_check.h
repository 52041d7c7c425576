#ifndef BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_
#define BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_

#include <string>
#include <vector>

#include "files.h"
#include "tables_log.h"

namespace basilspread::ctl {

/// Returns warnings about a valid draft. Hosts are checked only if the host
/// list has an address and answers.
std::vector<std::string> FindWarnings(const Draft& draft,
                                      const Arguments& arguments);

/// Checks with the entry processes that the worker pools that the draft removes
/// have no jobs left. Errors: kInvalidTables when one has, kBadRequest without
/// addresses for operators, kOwnerUnreachable when a process does not answer.
Result<void> CheckRemovedPools(const Draft& draft, const TablesLog& log,
                               const Arguments& arguments);

/// Checks that the draft is an allowed change of the accepted tables.
/// Errors: kInvalidTables.
Result<void> CheckAgainstAccepted(const Draft& draft, const TablesLog& log);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_
