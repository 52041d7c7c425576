#include "draft_check.h"

#include "basilspread/config/table_warnings.h"
#include "basilspread/config/tables.h"
#include "basilspread/core/configuration.h"
#include "basilspread/platform/host_list_client.h"

namespace basilspread::ctl {
namespace {

constexpr Duration kHostListTimeout = std::chrono::seconds(3);

}  // namespace

std::vector<std::string> WarningsOf(const Draft& draft,
                                    const Arguments& arguments) {
  std::vector<std::string> warnings = config::WarnOfTables(draft.tables);
  if (!arguments.addresses.hosts) {
    return warnings;
  }
  const config::Endpoint& endpoint = *arguments.addresses.hosts;
  const HostsListed listed =
      platform::HostListClient(endpoint.host, endpoint.port, kHostListTimeout)
          .List();
  if (!listed.ok) {
    warnings.emplace_back("the host list does not answer; hosts not checked");
    return warnings;
  }
  for (std::string& warning : config::WarnOfHosts(draft.tables, listed.hosts)) {
    warnings.push_back(std::move(warning));
  }
  return warnings;
}

Result<void> CheckFollows(const Draft& draft, const TablesLog& log) {
  const Result<Tables> accepted = config::ParseTables(log.record());
  if (!accepted) {
    return boost::outcome_v2::success();
  }
  const std::string faults = CheckSuccession(accepted.value(), draft.tables);
  if (!faults.empty()) {
    return Error{ErrorKind::kInvalidTables, faults};
  }
  return boost::outcome_v2::success();
}

}  // namespace basilspread::ctl
