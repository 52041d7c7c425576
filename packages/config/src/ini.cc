#include "basilspread/config/ini.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace basilspread::config {
namespace {

constexpr std::string_view kWhitespace = " \t\r";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 && character != '\t' && character != '\r';
  });
}

constexpr int kMaxListedErrors = 100;

/// Replaces unprintable characters and truncates long texts, so that a binary
/// file given by mistake does not garble the operator's terminal.
std::string Printable(std::string text) {
  for (char& character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte >= 0x7f) {
      character = '?';
    }
  }
  constexpr std::size_t kMaxErrorBytes = 300;
  if (text.size() > kMaxErrorBytes) {
    text.replace(kMaxErrorBytes, std::string::npos, "...");
  }
  return text;
}

/// Parses the lines of a file in order.
class IniParser {
 public:
  IniParser(IniFile& target, Diagnostics& diagnostic_list)
      : file(target), diagnostics(diagnostic_list) {}

  void ParseLine(std::string_view raw) {
    ++this->line;
    const std::string_view text = Trim(raw);
    if (HasControlCharacter(raw)) {
      this->AddError("", "control character");
    } else if (text.empty() || text.front() == '#' || text.front() == ';') {
      return;
    } else if (text.front() == '[') {
      this->ParseSection(text);
    } else {
      this->ParseEntry(text);
    }
  }

 private:
  void AddError(std::string_view key, std::string_view reason) {
    const bool has_section = !this->file.sections.empty();
    this->diagnostics.Add(this->line,
                          has_section ? this->file.sections.back().name : "",
                          key, reason);
  }

  void ParseSection(std::string_view text) {
    if (text.back() != ']') {
      this->AddError("", "section is not closed by ]");
      return;
    }
    const std::string name(Trim(text.substr(1, text.size() - 2)));
    const bool is_repeated = std::any_of(
        this->file.sections.begin(), this->file.sections.end(),
        [&name](const IniSection& section) { return section.name == name; });
    this->file.sections.push_back(IniSection{name, this->line, {}});
    if (name.empty()) {
      this->AddError("", "section has no name");
    }
    if (is_repeated) {
      this->AddError("", "section is given twice");
    }
  }

  void ParseEntry(std::string_view text) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      this->AddError("", "line is neither [section] nor key = value");
      return;
    }
    const std::string key(Trim(text.substr(0, equals)));
    const std::string value(Trim(text.substr(equals + 1)));
    if (this->file.sections.empty()) {
      this->AddError(key, "key is before the first section");
      return;
    }
    IniSection& section = this->file.sections.back();
    const bool is_repeated =
        std::any_of(section.entries.begin(), section.entries.end(),
                    [&key](const IniEntry& entry) { return entry.key == key; });
    if (is_repeated) {
      this->AddError(key, "key is given twice");
    }
    if (key.empty()) {
      this->AddError("", "key has no name");
    }
    if (value.empty()) {
      this->AddError(key, "value is missing");
    }
    if (value.find(" ;") != std::string::npos ||
        value.find(" #") != std::string::npos) {
      this->AddError(key, "comment after a value; put it on a line of its own");
    }
    section.entries.push_back(IniEntry{key, value, this->line});
  }

  IniFile& file;
  Diagnostics& diagnostics;
  int line = 0;
};

}  // namespace

void Diagnostics::Add(int line, std::string_view section, std::string_view key,
                      std::string_view reason) {
  ++this->count;
  if (this->count > kMaxListedErrors) {
    return;
  }
  const std::string error =
      fmt::format("{}:{}: [{}]{}{}: {}", this->file, line, section,
                  key.empty() ? "" : " ", key, reason);
  this->text += (this->text.empty() ? "" : "\n") + Printable(error);
}

std::string Diagnostics::Text() const {
  if (this->count <= kMaxListedErrors) {
    return this->text;
  }
  return fmt::format("{}\n{}: {} more errors", this->text, this->file,
                     this->count - kMaxListedErrors);
}

IniFile ParseIni(std::string_view text, std::string_view name,
                 Diagnostics& diagnostics) {
  IniFile file;
  file.name = name;
  IniParser parser(file, diagnostics);
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    parser.ParseLine(text.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    text.remove_prefix(end + 1);
  }
  return file;
}

}  // namespace basilspread::config
