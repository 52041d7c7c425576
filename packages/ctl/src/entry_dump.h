#ifndef BASILSPREAD_CTL_SRC_ENTRY_DUMP_H_
#define BASILSPREAD_CTL_SRC_ENTRY_DUMP_H_

#include <map>
#include <string>
#include <vector>

#include "arguments.h"
#include "basilspread/core/report.h"
#include "basilspread/core/result.h"

namespace basilspread::ctl {

/// The state dump of one entry process.
struct EntryDump {
  config::Endpoint admin;
  /// Whether the process answered; if not, `sections` is empty.
  bool ok = false;
  /// Why the process did not answer; empty when it did.
  std::string error_text;
  StateReport sections;

  /// Returns the rows of a section; none when it is missing.
  const std::vector<ReportRow>& Rows(const std::string& title) const;
  /// Returns the name of the process; empty when unknown.
  std::string Node() const;
};

/// Returns the value of a column; "-" when the row has no such column.
std::string ValueOf(const ReportRow& row, const std::string& column);
/// Returns the value as a number; 0 when it is not a number.
std::uint64_t NumberOf(const ReportRow& row, const std::string& column);

/// Reads the dump of a process. Errors: kOwnerUnreachable.
Result<EntryDump> ReadDump(const config::Endpoint& admin);

/// Reads the dumps of all processes in the arguments. A process that does not
/// answer has an entry with ok = false. Errors: kBadRequest without an address.
Result<std::vector<EntryDump>> ReadDumps(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_ENTRY_DUMP_H_
