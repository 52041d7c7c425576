#ifndef BASILSPREAD_CTL_SRC_ARGUMENTS_H_
#define BASILSPREAD_CTL_SRC_ARGUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/result.h"
#include "basilspread/core/time.h"

namespace basilspread::ctl {

/// Where the cluster answers operators.
struct Addresses {
  std::optional<config::Endpoint> log;
  std::optional<config::Endpoint> hosts;
  /// Operators' addresses of the entry processes.
  std::vector<config::Endpoint> admin;
  /// Callers' addresses of the entry processes, for jobs.
  std::vector<config::Endpoint> http;
};

/// The command line, read and checked.
struct Arguments {
  std::string command;
  /// What follows the command: a process, a job.
  std::vector<std::string> operands;
  Addresses addresses;
  /// Paths of the two tables.
  std::string routes;
  std::string pools;
  std::optional<TablesVersion> base;
  /// Version under which lost tables are restored.
  std::optional<TablesVersion> restore;
  std::string author;
  std::string team;
  bool json = false;
  bool wait = false;
  Duration timeout = std::chrono::seconds(13);
};

/// Reads the operators' file, "[cluster]" with log, hosts, admin and http.
/// Errors: kInvalidSettings with every fault, one a line.
Result<Addresses> ParseAddresses(std::string_view text,
                                 std::string_view file_name);

/// Parses addresses separated by commas. Errors: kInvalidSettings.
Result<std::vector<config::Endpoint>> ParseEndpoints(const std::string& text);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_ARGUMENTS_H_
