#include "basilspread/config/node_settings.h"

#include <Poco/Net/IPAddress.h>
#include <fmt/format.h>

#include <charconv>
#include <set>

#include "addresses.h"
#include "basilspread/config/reader.h"
#include "timing_settings.h"

namespace basilspread::config {
namespace {

class SettingsReader {
 public:
  SettingsReader(const IniFile& ini_file, Diagnostics& diagnostic_list)
      : file(ini_file), diagnostics(diagnostic_list) {}

  NodeSettings Read() {
    for (const IniSection& section : this->file.sections) {
      this->ReadSection(section);
    }
    const bool has_store = this->seen_sections.contains("store");
    for (const std::string_view name :
         {"node", "listen", has_store ? "store" : "platform"}) {
      if (!this->seen_sections.contains(name)) {
        this->diagnostics.Add(0, name, "", "section is missing");
      }
    }
    this->CheckPeers();
    return this->settings;
  }

 private:
  void ReadSection(const IniSection& section) {
    this->seen_sections.insert(section.name);
    SectionReader reader(section, this->diagnostics);
    if (section.name == "node") {
      this->ReadNode(reader);
    } else if (section.name == "listen") {
      this->ReadListen(reader);
    } else if (section.name == "platform") {
      this->ReadPlatform(reader);
    } else if (section.name == "store") {
      this->ReadStore(reader);
    } else if (section.name == "host") {
      this->ReadHost(reader);
    } else if (section.name == "peers") {
      this->ReadPeers(section, reader);
    } else if (section.name == "limits") {
      this->ReadLimits(reader);
    } else if (section.name == "admission") {
      this->ReadAdmission(reader);
    } else if (section.name == "timing") {
      ReadTiming(reader, this->settings.core);
    } else {
      this->diagnostics.Add(section.line, section.name, "", "unknown section");
      return;
    }
    reader.Finish();
  }

  void ReadNode(SectionReader& reader) {
    reader.Require("name");
    reader.ReadName("name", this->settings.core.self.node.value);
    reader.Require("zone");
    reader.ReadName("zone", this->settings.core.zone.value);
    reader.Read("log_level",
                {{"debug", std::string("debug")},
                 {"info", std::string("info")},
                 {"warning", std::string("warning")},
                 {"error", std::string("error")}},
                this->settings.log_level);
  }

  void ReadEndpoint(SectionReader& reader, AddressUse use, std::string_view key,
                    Endpoint& target) {
    std::string text;
    reader.Require(key);
    reader.Read(key, text);
    if (text.empty()) {
      return;
    }
    Result<Endpoint> parsed = ParseEndpoint(text);
    if (!parsed) {
      reader.AddError(key, parsed.error().detail);
      return;
    }
    target = parsed.value();
    const std::string conflict = this->addresses.Add(use, key, target);
    if (!conflict.empty()) {
      reader.AddError(key, conflict);
    }
  }

  /// Reads an address that may be absent or empty. It is not checked for
  /// conflicts.
  void ReadOptionalEndpoint(SectionReader& reader, std::string_view key,
                            Endpoint& target) {
    std::string text;
    reader.Read(key, text);
    if (text.empty()) {
      return;
    }
    const Result<Endpoint> parsed = ParseEndpoint(text);
    if (!parsed) {
      reader.AddError(key, parsed.error().detail);
      return;
    }
    target = parsed.value();
  }

  void ReadListen(SectionReader& reader) {
    this->ReadEndpoint(reader, AddressUse::kListen, "http",
                       this->settings.http);
    this->ReadEndpoint(reader, AddressUse::kListen, "admin",
                       this->settings.admin);
    this->ReadEndpoint(reader, AddressUse::kListen, "peer",
                       this->settings.peer);
    this->settings.core.peer_address = this->settings.peer.ToString();
  }

  void ReadPlatform(SectionReader& reader) {
    this->ReadEndpoint(reader, AddressUse::kPlatform, "log",
                       this->settings.platform_log);
    this->ReadEndpoint(reader, AddressUse::kPlatform, "hosts",
                       this->settings.platform_hosts);
  }

  void ReadStore(SectionReader& reader) {
    StoreSettings& store = this->settings.core.store;
    store.enabled = true;
    this->ReadEndpoint(reader, AddressUse::kPlatform, "address",
                       this->settings.store);
    this->ReadEndpoint(reader, AddressUse::kListen, "ready",
                       this->settings.ready);
    this->ReadOptionalEndpoint(reader, "advisor", this->settings.advisor);
    reader.Read("learn_run_times", store.learn_run_times);
    ReadStoreTiming(reader, store);
  }

  void ReadHost(SectionReader& reader) {
    Capacity& capacity = this->settings.core.capacity;
    reader.Read("processor_share", 0.001, 1.0, capacity.processor_share);
    reader.Read("link_mbps", 0.001, 1e6, capacity.link_mbps);
    reader.Read("memory", 1.0, 1e9, this->settings.memory);
    reader.Read("descriptors", 1, 1'000'000'000, this->settings.descriptors);
  }

  void ReadAdmission(SectionReader& reader) {
    AdmissionSettings& admission = this->settings.core.admission;
    reader.Read("strict_revocation", admission.strict_revocation);
    reader.Read("revocation_timeout", std::chrono::seconds(1),
                std::chrono::hours(1), admission.revocation_timeout);
    reader.Read("quota_window", std::chrono::milliseconds(100),
                std::chrono::hours(1), admission.quota_window);
    reader.Read("quota_slack", 0, 1'000'000, admission.quota_slack);
    reader.Read("by_queue", admission.by_queue);
  }

  void ReadPeers(const IniSection& section, SectionReader& reader) {
    for (const IniEntry& entry : section.entries) {
      PeerEndpoint peer;
      peer.node.value = entry.key;
      if (!IsName(entry.key)) {
        reader.AddError(entry.key, "the key is not a valid process name");
      }
      this->ReadEndpoint(reader, AddressUse::kPeer, entry.key, peer.endpoint);
      this->settings.peers.push_back(peer);
      this->settings.core.peers.push_back(peer.node);
    }
  }

  void CheckPeers() {
    for (const IniSection& section : this->file.sections) {
      if (section.name != "peers") {
        continue;
      }
      for (const IniEntry& entry : section.entries) {
        if (entry.key == this->settings.core.self.node.value) {
          this->diagnostics.Add(entry.line, section.name, entry.key,
                                "a process cannot be its own peer");
        }
      }
    }
  }

  void ReadLimits(SectionReader& reader) {
    reader.Read("max_connections", 1, 65536, this->settings.max_connections);
    reader.Read("max_body_kibibytes", 1, 8192,
                this->settings.max_body_kibibytes);
    reader.Read("minion_threads", 1, 2048, this->settings.minion_threads);
    reader.Read("task_lease", std::chrono::seconds(1), std::chrono::hours(1),
                this->settings.core.task_lease);
    reader.Read("lapse_margin", std::chrono::seconds(1),
                std::chrono::minutes(10), this->settings.core.lapse_margin);
  }

  const IniFile& file;
  Diagnostics& diagnostics;
  NodeSettings settings;
  AddressRegistry addresses;
  std::set<std::string, std::less<>> seen_sections;
};

/// Whether the text is an IP address and nothing else. Poco also accepts IPv4
/// addresses with missing parts and ignores what follows a space or a NUL.
bool IsIpNumber(const std::string& text) {
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(text, address)) {
    return false;
  }
  return address.family() == Poco::Net::IPAddress::IPv4
             ? address.toString() == text
             : text.find('\0') == std::string::npos;
}

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
  if (status != std::errc() || end != last || endpoint.port == 0 ||
      !IsIpNumber(endpoint.host)) {
    return error;
  }
  return endpoint;
}

Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       std::string_view file_name) {
  Diagnostics diagnostics{std::string(file_name)};
  const IniFile file = ParseIni(text, file_name, diagnostics);
  NodeSettings settings = SettingsReader(file, diagnostics).Read();
  if (!diagnostics.empty()) {
    return Error{ErrorKind::kInvalidSettings, diagnostics.Text()};
  }
  return settings;
}

}  // namespace basilspread::config
