#ifndef BASILSPREAD_CONFIG_NODE_SETTINGS_H_
#define BASILSPREAD_CONFIG_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/result.h"
#include "basilspread/core/settings.h"

namespace basilspread::config {

/// IP address and port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const;
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

struct PeerEndpoint {
  NodeName node;
  Endpoint endpoint;
};

/// The settings file of one entry process.
struct NodeSettings {
  Settings core;
  /// Listening address for callers.
  Endpoint http;
  /// Listening address for operators.
  Endpoint admin;
  /// Listening address for other entry processes.
  Endpoint peer;
  std::vector<PeerEndpoint> peers;
  Endpoint platform_log;
  Endpoint platform_hosts;
  /// Used with a store only: address of the store, address of the advisor
  /// (optional; an empty host means none), and listening address of the
  /// readiness probe.
  Endpoint store;
  Endpoint advisor;
  Endpoint ready;
  std::string log_level = "info";
  /// Limit of simultaneous connections of callers.
  std::uint32_t max_connections = 1024;
  std::uint32_t max_body_kibibytes = 1024;
  /// Memory of the process in MB, and descriptors that it may open; 0 if not
  /// stated.
  double memory = 0;
  std::uint32_t descriptors = 0;
  /// Limit of simultaneous calls to minions, which take one thread each.
  std::uint32_t minion_threads = 128;
};

/// Parses and checks the text of a settings file.
/// Errors: kInvalidSettings with all errors, one per line.
Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       std::string_view file_name);

/// Parses "127.0.0.1:8000"; the host must be an IP address.
/// Errors: kInvalidSettings.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_NODE_SETTINGS_H_
