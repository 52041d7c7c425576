#include "basilspread/config/node_settings.h"

#include <Poco/Net/IPAddress.h>
#include <fmt/format.h>

#include <charconv>
#include <set>

#include "basilspread/config/reader.h"

namespace basilspread::config {
namespace {

class SettingsReader {
 public:
  SettingsReader(const IniFile& ini_file, Faults& fault_list)
      : file(ini_file), faults(fault_list) {}

  NodeSettings Read() {
    for (const IniSection& section : this->file.sections) {
      this->ReadSection(section);
    }
    for (const std::string_view name : {"node", "listen", "platform"}) {
      if (!this->seen.contains(name)) {
        this->faults.Add(0, name, "", "section is missing");
      }
    }
    return this->settings;
  }

 private:
  void ReadSection(const IniSection& section) {
    this->seen.insert(section.name);
    SectionReader reader(section, this->faults);
    if (section.name == "node") {
      this->ReadNode(reader);
    } else if (section.name == "listen") {
      this->ReadListen(reader);
    } else if (section.name == "platform") {
      this->ReadPlatform(reader);
    } else if (section.name == "peers") {
      this->ReadPeers(section, reader);
    } else if (section.name == "limits") {
      this->ReadLimits(reader);
    } else if (section.name == "timing") {
      this->ReadTiming(reader);
    } else {
      this->faults.Add(section.line, section.name, "", "unknown section");
      return;
    }
    reader.Finish();
  }

  void ReadNode(SectionReader& reader) {
    reader.Require("name");
    reader.Read("name", this->settings.core.self.node.value);
    reader.Require("zone");
    reader.Read("zone", this->settings.core.zone.value);
    reader.Read("log_level",
                {{"debug", std::string("debug")},
                 {"info", std::string("info")},
                 {"warning", std::string("warning")},
                 {"error", std::string("error")}},
                this->settings.log_level);
  }

  void ReadEndpoint(SectionReader& reader, std::string_view key,
                    Endpoint& target) {
    std::string text;
    reader.Require(key);
    reader.Read(key, text);
    if (text.empty()) {
      return;
    }
    Result<Endpoint> parsed = ParseEndpoint(text);
    if (!parsed) {
      reader.Fault(key, parsed.error().detail);
      return;
    }
    target = parsed.value();
  }

  void ReadListen(SectionReader& reader) {
    this->ReadEndpoint(reader, "http", this->settings.http);
    this->ReadEndpoint(reader, "admin", this->settings.admin);
    this->ReadEndpoint(reader, "peer", this->settings.peer);
    this->settings.core.peer_address = this->settings.peer.ToString();
  }

  void ReadPlatform(SectionReader& reader) {
    this->ReadEndpoint(reader, "log", this->settings.platform_log);
    this->ReadEndpoint(reader, "hosts", this->settings.platform_hosts);
  }

  void ReadPeers(const IniSection& section, SectionReader& reader) {
    for (const IniEntry& entry : section.entries) {
      PeerEndpoint peer;
      peer.node.value = entry.key;
      this->ReadEndpoint(reader, entry.key, peer.endpoint);
      this->settings.peers.push_back(peer);
      this->settings.core.peers.push_back(peer.node);
    }
  }

  void ReadLimits(SectionReader& reader) {
    reader.Read("max_connections", 1, 65536, this->settings.max_connections);
    reader.Read("max_body_kibibytes", 1, 8192,
                this->settings.max_body_kibibytes);
    reader.Read("minion_threads", 1, 2048, this->settings.minion_threads);
  }

  void ReadTiming(SectionReader& reader) {
    Settings& core = this->settings.core;
    reader.Read("heartbeat_interval", core.heartbeat_interval);
    reader.Read("peer_timeout", core.peer_timeout);
    reader.Read("host_list_interval", core.host_list_interval);
    reader.Read("log_read_interval", core.log_read_interval);
    reader.Read("append_interval", core.append_interval);
    reader.Read("claim_delay", core.claim_delay);
    reader.Read("ownership_freshness", core.ownership_freshness);
    reader.Read("ownership_margin", core.ownership_margin);
    reader.Read("takeover_timeout", core.takeover_timeout);
    reader.Read("log_retention", core.log_retention);
    reader.Read("drain_timeout", core.drain_timeout);
  }

  const IniFile& file;
  Faults& faults;
  NodeSettings settings;
  std::set<std::string, std::less<>> seen;
};

}  // namespace

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", this->host, this->port);
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const Error error{ErrorKind::kInvalidSettings,
                    "\"" + text + "\" is not an IP number with a port"};
  if (colon == std::string::npos) {
    return error;
  }
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, status] = std::from_chars(first, last, endpoint.port);
  Poco::Net::IPAddress address;
  const bool is_ip = Poco::Net::IPAddress::tryParse(endpoint.host, address);
  if (status != std::errc() || end != last || endpoint.port == 0 || !is_ip) {
    return error;
  }
  return endpoint;
}

Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       std::string_view file_name) {
  Faults faults{std::string(file_name)};
  const IniFile file = ParseIni(text, file_name, faults);
  NodeSettings settings = SettingsReader(file, faults).Read();
  if (!faults.empty()) {
    return Error{ErrorKind::kInvalidSettings, faults.Text()};
  }
  return settings;
}

}  // namespace basilspread::config
