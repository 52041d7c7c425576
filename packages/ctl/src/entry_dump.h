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
  /// Unset fields when the process did not answer.
  bool ok = false;
  std::string fault;
  StateReport sections;

  /// The rows of a section; none when it is missing.
  const std::vector<ReportRow>& Rows(const std::string& title) const;
  /// The name of the process; empty when it is not known.
  std::string Node() const;
};

/// The value of a column; "-" when the row lacks it.
std::string ValueOf(const ReportRow& row, const std::string& column);
/// The value as a number; 0 when it is none.
std::uint64_t NumberOf(const ReportRow& row, const std::string& column);

/// Errors: kOwnerUnreachable.
Result<EntryDump> ReadDump(const config::Endpoint& admin);

/// The dumps of every process in the arguments, also of silent ones.
/// Errors: kBadRequest without an address.
Result<std::vector<EntryDump>> ReadDumps(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_ENTRY_DUMP_H_
