#ifndef BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_
#define BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_

#include <string>
#include <vector>

#include "files.h"
#include "tables_log.h"

namespace basilspread::ctl {

/// What is unwise in a valid draft. The host list counts when it answers.
std::vector<std::string> WarningsOf(const Draft& draft,
                                    const Arguments& arguments);

/// Whether the worker pools that the draft removes have no job left, as the
/// entry processes tell. Errors: kInvalidTables when one has, kBadRequest
/// without operators' addresses, kOwnerUnreachable when a process is silent.
Result<void> CheckDrained(const Draft& draft, const TablesLog& log,
                          const Arguments& arguments);

/// Whether the draft may follow the accepted tables.
/// Errors: kInvalidTables.
Result<void> CheckFollows(const Draft& draft, const TablesLog& log);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_DRAFT_CHECK_H_
