#ifndef BASILSPREAD_CONFIG_READER_H_
#define BASILSPREAD_CONFIG_READER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilspread/config/ini.h"
#include "basilspread/core/time.h"

namespace basilspread::config {

/// Typed access to the keys of one section. Each read that fails adds a fault
/// and leaves the target as it was; Finish reports keys that nobody read.
class SectionReader {
 public:
  SectionReader(const IniSection& ini_section, Diagnostics& diagnostic_list);

  void Read(std::string_view key, std::string& target);
  void Read(std::string_view key, bool& target);
  /// A duration with its unit, within [low, high].
  void Read(std::string_view key, Duration low, Duration high,
            Duration& target);
  /// A whole number within [low, high].
  void Read(std::string_view key, double low, double high, double& target);
  void Read(std::string_view key, std::uint32_t low, std::uint32_t high,
            std::uint32_t& target);
  /// One of the names of `choices`.
  template <typename T>
  void Read(std::string_view key, const std::map<std::string, T>& choices,
            T& target);
  /// Values separated by commas.
  void Read(std::string_view key, std::vector<std::string>& target);

  /// A name in the sense of IsName.
  void ReadName(std::string_view key, std::string& target);

  /// Adds a fault when the key is absent.
  void Require(std::string_view key);
  /// Adds a fault at the key's line.
  void AddError(std::string_view key, std::string_view reason);
  /// Adds a fault for every key that no call named.
  void Finish();

 private:
  const IniEntry* Find(std::string_view key);

  const IniSection& section;
  Diagnostics& diagnostics;
  std::set<std::string, std::less<>> known;
};

template <typename T>
void SectionReader::Read(std::string_view key,
                         const std::map<std::string, T>& choices, T& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  const auto choice = choices.find(entry->value);
  if (choice != choices.end()) {
    target = choice->second;
    return;
  }
  std::string names;
  for (const auto& [name, value] : choices) {
    names += (names.empty() ? "" : ", ") + name;
  }
  this->AddError(key, "\"" + entry->value + "\" is not one of " + names);
}

/// Parses a duration with its unit: "250ms", "2s", "5m", "1h".
std::optional<Duration> ParseDuration(std::string_view text);

/// Writes a duration so that ParseDuration reads it: "250ms", "2s".
std::string FormatDuration(Duration duration);

/// Whether the text may name a node, zone, route, pool or team: 1 to 64
/// letters, digits, dots, dashes and underscores.
bool IsName(std::string_view text);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_READER_H_
