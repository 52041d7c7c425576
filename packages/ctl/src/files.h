#ifndef BASILSPREAD_CTL_SRC_FILES_H_
#define BASILSPREAD_CTL_SRC_FILES_H_

#include <string>

#include "arguments.h"
#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"

namespace basilspread::ctl {

/// Errors: kBadRequest when the file cannot be read, kTooLarge above 1 MiB.
Result<std::string> ReadTextFile(const std::string& path);

/// An edit that is still in files, checked.
struct Draft {
  TablesRecord record;
  Tables tables;
};

/// Reads and checks the tables that the arguments name.
/// Errors: as ReadTextFile, and kInvalidTables with every fault.
Result<Draft> ReadDraft(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_FILES_H_
