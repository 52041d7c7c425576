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

/// Typed access to the keys of one section. An invalid value adds an error, and
/// an absent or invalid one leaves the target unchanged; Finish reports unknown
/// keys.
class SectionReader {
 public:
  SectionReader(const IniSection& ini_section, Diagnostics& diagnostic_list);

  void Read(std::string_view key, std::string& target);
  void Read(std::string_view key, bool& target);
  /// Reads a duration with its unit, within [low, high].
  void Read(std::string_view key, Duration low, Duration high,
            Duration& target);
  /// Reads a number within [low, high].
  void Read(std::string_view key, double low, double high, double& target);
  /// Reads a whole number within [low, high].
  void Read(std::string_view key, std::uint32_t low, std::uint32_t high,
            std::uint32_t& target);
  /// Reads one of the names in `choices`.
  template <typename T>
  void Read(std::string_view key, const std::map<std::string, T>& choices,
            T& target);
  /// Reads a comma-separated list.
  void Read(std::string_view key, std::vector<std::string>& target);

  /// Reads a name that satisfies IsName.
  void ReadName(std::string_view key, std::string& target);

  /// Adds an error when the key is absent.
  void Require(std::string_view key);
  /// Adds an error at the key's line, or at the section's if the key is absent.
  void AddError(std::string_view key, std::string_view reason);
  /// Adds an error for each key that no earlier call has named.
  void Finish();

 private:
  const IniEntry* Find(std::string_view key);

  const IniSection& section;
  Diagnostics& diagnostics;
  std::set<std::string, std::less<>> known_keys;
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

/// Parses a duration with its unit: "100us", "250ms", "2s", "5m", "1h". Unset
/// if malformed or longer than a year.
std::optional<Duration> ParseDuration(std::string_view text);

/// Formats a duration in the syntax of ParseDuration, with the largest unit
/// that divides it: "250ms", "2s".
std::string FormatDuration(Duration duration);

/// Whether the text is a valid name of a node, zone, route, pool or team: 1 to
/// 64 letters, digits, dots, dashes and underscores.
bool IsName(std::string_view text);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_READER_H_
