#include "draft_check.h"

#include <fmt/format.h>

#include "basilspread/clients/host_list_client.h"
#include "basilspread/config/table_warnings.h"
#include "basilspread/config/tables.h"
#include "basilspread/core/configuration.h"
#include "entry_dump.h"

namespace basilspread::ctl {
namespace {

constexpr Duration kHostListTimeout = std::chrono::seconds(3);

std::size_t CountJobs(const std::vector<EntryDump>& dumps,
                      const PoolName& pool) {
  std::size_t count = 0;
  for (const EntryDump& dump : dumps) {
    for (const ReportRow& row : dump.Rows("jobs")) {
      if (ValueOf(row, "home").starts_with(pool.value + "#")) {
        ++count;
      }
    }
  }
  return count;
}

std::vector<PoolName> RemovedWorkerPools(const Draft& draft,
                                         const TablesLog& log) {
  std::vector<PoolName> removed;
  const Result<Tables> accepted = config::ParseTables(log.record());
  if (!accepted) {
    return removed;
  }
  for (const auto& [name, pool] : accepted.value().pools) {
    const bool is_kept = draft.tables.pools.contains(name);
    if (pool.kind == PoolKind::kWorkers && !is_kept) {
      removed.push_back(name);
    }
  }
  return removed;
}

}  // namespace

std::vector<std::string> FindWarnings(const Draft& draft,
                                      const Arguments& arguments) {
  std::vector<std::string> warnings = config::FindTableWarnings(draft.tables);
  if (!arguments.addresses.hosts) {
    return warnings;
  }
  const config::Endpoint& endpoint = *arguments.addresses.hosts;
  const HostsListed listed =
      clients::HostListClient(endpoint.host, endpoint.port, kHostListTimeout)
          .List();
  if (!listed.ok) {
    warnings.emplace_back(
        "the host list does not answer; hosts are not checked");
    return warnings;
  }
  for (std::string& warning :
       config::FindHostWarnings(draft.tables, listed.hosts)) {
    warnings.push_back(std::move(warning));
  }
  return warnings;
}

Result<void> CheckAgainstAccepted(const Draft& draft, const TablesLog& log) {
  const Result<Tables> accepted = config::ParseTables(log.record());
  if (!accepted) {
    return boost::outcome_v2::success();
  }
  const std::string reason = CheckTablesChange(accepted.value(), draft.tables);
  if (!reason.empty()) {
    return Error{ErrorKind::kInvalidTables, reason};
  }
  return boost::outcome_v2::success();
}

Result<void> CheckRemovedPools(const Draft& draft, const TablesLog& log,
                               const Arguments& arguments) {
  const std::vector<PoolName> removed = RemovedWorkerPools(draft, log);
  if (removed.empty()) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(dumps, ReadDumps(arguments));
  for (const EntryDump& dump : dumps) {
    if (!dump.ok) {
      return Error{ErrorKind::kOwnerUnreachable,
                   "cannot check whether a removed pool still has jobs: " +
                       dump.error_text};
    }
  }
  for (const PoolName& pool : removed) {
    const std::size_t jobs = CountJobs(dumps, pool);
    if (jobs > 0) {
      return Error{
          ErrorKind::kInvalidTables,
          fmt::format("[pool {}] still has {} jobs; publish it with draining "
                      "= yes, wait until they have ended, then remove it",
                      pool.value, jobs)};
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace basilspread::ctl
