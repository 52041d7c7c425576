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

/// IP number and port.
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
  /// Callers connect here.
  Endpoint http;
  /// Operators connect here.
  Endpoint admin;
  /// Peers connect here.
  Endpoint peer;
  std::vector<PeerEndpoint> peers;
  Endpoint platform_log;
  Endpoint platform_hosts;
  /// With a store: where it is, who gives advice (no host: nobody), and where
  /// the readiness of this process is asked for.
  Endpoint store;
  Endpoint advisor;
  Endpoint ready;
  std::string log_level = "info";
  /// Connections of callers that are open at once.
  std::uint32_t max_connections = 1024;
  std::uint32_t max_body_kibibytes = 1024;
  /// Exchanges with minions that run at once, one thread each.
  std::uint32_t minion_threads = 128;
};

/// Reads and checks a settings file.
/// Errors: kInvalidSettings with every fault, one a line.
Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       std::string_view file_name);

/// Parses "127.0.0.1:8000"; the host must be an IP number.
/// Errors: kInvalidSettings.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_NODE_SETTINGS_H_
