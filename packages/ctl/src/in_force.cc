#include "in_force.h"

#include <algorithm>

#include "await.h"
#include "entry_dump.h"

namespace basilspread::ctl {
namespace {

void Update(InForce& entry, const EntryDump& dump, TablesVersion version,
            Duration elapsed) {
  if (!dump.ok) {
    entry.error_text = dump.error_text;
    return;
  }
  entry.process = dump.Node();
  const auto& rows = dump.Rows("configuration");
  if (rows.empty()) {
    return;
  }
  entry.error_text = ValueOf(rows.front(), "fault");
  if (NumberOf(rows.front(), "in_force") >= version.value) {
    entry.reached = true;
    entry.after = elapsed;
  }
}

}  // namespace

Result<std::vector<InForce>> AwaitInForce(const Arguments& arguments,
                                          TablesVersion version) {
  std::vector<InForce> entries;
  for (const config::Endpoint& admin : arguments.addresses.admin) {
    entries.push_back(InForce{admin.ToString(), false, {}, ""});
  }
  const TimePoint begin = std::chrono::steady_clock::now();
  Await(arguments.timeout, [&arguments, &entries, version, begin] {
    const Result<std::vector<EntryDump>> dumps = ReadDumps(arguments);
    if (!dumps) {
      return true;
    }
    const Duration elapsed = std::chrono::steady_clock::now() - begin;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (!entries[i].reached) {
        Update(entries[i], dumps.value()[i], version, elapsed);
      }
    }
    return std::all_of(entries.begin(), entries.end(),
                       [](const InForce& entry) { return entry.reached; });
  });
  if (entries.empty()) {
    return Error{
        ErrorKind::kBadRequest,
        "--wait requires addresses for operators: --admin, or admin in "
        "[cluster]"};
  }
  return entries;
}

}  // namespace basilspread::ctl
