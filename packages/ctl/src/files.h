#ifndef BASILSPREAD_CTL_SRC_FILES_H_
#define BASILSPREAD_CTL_SRC_FILES_H_

#include <string>

#include "arguments.h"
#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"

namespace basilspread::ctl {

/// Reads a file. Errors: kBadRequest when the file cannot be read, kTooLarge
/// above 1 MiB.
Result<std::string> ReadTextFile(const std::string& path);

/// An unpublished edit of the tables, read from files and checked.
struct Draft {
  TablesRecord record;
  Tables tables;
};

/// Reads and checks the tables that the arguments name.
/// Errors: those of ReadTextFile, kBadRequest without both paths, and
/// kInvalidTables with all errors.
Result<Draft> ReadDraft(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_FILES_H_
