#include "basilspread/config/reader.h"

#include <fmt/format.h>

#include <charconv>
#include <iterator>

namespace basilspread::config {
namespace {

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

struct Unit {
  std::string_view suffix;
  Duration length;
};

// "us" and "ms" come before "s", which is a suffix of both.
constexpr Unit kUnits[] = {{"us", std::chrono::microseconds(1)},
                           {"ms", std::chrono::milliseconds(1)},
                           {"s", std::chrono::seconds(1)},
                           {"m", std::chrono::minutes(1)},
                           {"h", std::chrono::hours(1)}};

/// Longest duration that a file may contain.
constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    text.remove_suffix(unit.suffix.size());
    const auto count = ParseNumber<std::uint32_t>(text);
    if (!count || *count > kMaxDuration / unit.length) {
      return std::nullopt;
    }
    return unit.length * *count;
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  for (auto unit = std::rbegin(kUnits); unit != std::rend(kUnits); ++unit) {
    if (duration >= unit->length && duration % unit->length == Duration{}) {
      return fmt::format("{}{}", duration / unit->length, unit->suffix);
    }
  }
  return fmt::format(
      "{}us",
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 64;
  constexpr std::string_view kNameCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

SectionReader::SectionReader(const IniSection& ini_section,
                             Diagnostics& diagnostic_list)
    : section(ini_section), diagnostics(diagnostic_list) {}

const IniEntry* SectionReader::Find(std::string_view key) {
  this->known_keys.emplace(key);
  for (const IniEntry& entry : this->section.entries) {
    if (entry.key == key) {
      return &entry;
    }
  }
  return nullptr;
}

void SectionReader::Read(std::string_view key, std::string& target) {
  if (const IniEntry* entry = this->Find(key)) {
    target = entry->value;
  }
}

void SectionReader::Read(std::string_view key, bool& target) {
  this->Read(key, {{"yes", true}, {"no", false}}, target);
}

void SectionReader::Read(std::string_view key, Duration low, Duration high,
                         Duration& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  const auto parsed = ParseDuration(entry->value);
  if (!parsed) {
    this->AddError(key,
                   fmt::format("\"{}\" is not a duration such as 250ms, 2s, "
                               "5m or 1h",
                               entry->value));
    return;
  }
  if (*parsed < low || *parsed > high) {
    this->AddError(key, fmt::format("\"{}\" is not from {} to {}", entry->value,
                                    FormatDuration(low), FormatDuration(high)));
    return;
  }
  target = *parsed;
}

void SectionReader::Read(std::string_view key, double low, double high,
                         double& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  const auto parsed = ParseNumber<double>(entry->value);
  if (!parsed || !(*parsed >= low && *parsed <= high)) {
    this->AddError(key, fmt::format("\"{}\" is not a number from {} to {}",
                                    entry->value, low, high));
    return;
  }
  target = *parsed;
}

void SectionReader::Read(std::string_view key, std::uint32_t low,
                         std::uint32_t high, std::uint32_t& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  const auto parsed = ParseNumber<std::uint32_t>(entry->value);
  if (!parsed || *parsed < low || *parsed > high) {
    this->AddError(key,
                   fmt::format("\"{}\" is not a whole number from {} to {}",
                               entry->value, low, high));
    return;
  }
  target = *parsed;
}

void SectionReader::Read(std::string_view key,
                         std::vector<std::string>& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  target.clear();
  std::string_view rest = entry->value;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    std::string_view item = rest.substr(0, comma);
    rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                       : comma + 1);
    const std::size_t first = item.find_first_not_of(' ');
    if (first == std::string_view::npos) {
      this->AddError(key, "the list has an empty item");
      continue;
    }
    item = item.substr(first, item.find_last_not_of(' ') - first + 1);
    target.emplace_back(item);
  }
}

void SectionReader::ReadName(std::string_view key, std::string& target) {
  const IniEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  if (entry->value.empty()) {
    return;
  }
  if (!IsName(entry->value)) {
    this->AddError(key, fmt::format("\"{}\" is not a name of letters, digits, "
                                    "dots, dashes and underscores",
                                    entry->value));
    return;
  }
  target = entry->value;
}

void SectionReader::Require(std::string_view key) {
  if (this->Find(key) == nullptr) {
    this->diagnostics.Add(this->section.line, this->section.name, key,
                          "key is missing");
  }
}

void SectionReader::AddError(std::string_view key, std::string_view reason) {
  const IniEntry* entry = this->Find(key);
  const int line = entry == nullptr ? this->section.line : entry->line;
  this->diagnostics.Add(line, this->section.name, key, reason);
}

void SectionReader::Finish() {
  for (const IniEntry& entry : this->section.entries) {
    if (!this->known_keys.contains(entry.key)) {
      this->diagnostics.Add(entry.line, this->section.name, entry.key,
                            "unknown key");
    }
  }
}

}  // namespace basilspread::config
