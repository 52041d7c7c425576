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

/// Addresses of the cluster's services.
struct Addresses {
  std::optional<config::Endpoint> log;
  std::optional<config::Endpoint> hosts;
  /// Addresses of the entry processes for operators.
  std::vector<config::Endpoint> admin;
  /// Addresses of the entry processes for callers; used for jobs.
  std::vector<config::Endpoint> http;
};

/// The parsed and checked command line.
struct Arguments {
  std::string command;
  /// Positional arguments of the command, such as a process or a job.
  std::vector<std::string> operands;
  Addresses addresses;
  /// Paths of the table files.
  std::string routes;
  std::string pools;
  std::optional<TablesVersion> base;
  /// Version to restore the tables under after the log has lost them.
  std::optional<TablesVersion> restore;
  std::string author;
  std::string team;
  bool json = false;
  bool wait = false;
  Duration timeout = std::chrono::seconds(13);
};

/// Parses the operators' file, which has a [cluster] section with the keys log,
/// hosts, admin and http.
/// Errors: kInvalidSettings with all errors, one per line.
Result<Addresses> ParseAddresses(std::string_view text,
                                 std::string_view file_name);

/// Parses a comma-separated list of addresses. Errors: kInvalidSettings.
Result<std::vector<config::Endpoint>> ParseEndpoints(const std::string& text);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_ARGUMENTS_H_
