#ifndef BASILSPREAD_CONFIG_INI_H_
#define BASILSPREAD_CONFIG_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/result.h"

namespace basilspread::config {

/// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// One "[name]" section with its lines, in file order.
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

struct IniFile {
  std::string name;
  std::vector<IniSection> sections;
};

/// Collects the errors of one file, so that all are reported at once.
class Diagnostics {
 public:
  explicit Diagnostics(std::string file_name) : file(std::move(file_name)) {}

  /// Adds the error "file:line: [section] key: reason"; an empty key is left
  /// out.
  void Add(int line, std::string_view section, std::string_view key,
           std::string_view reason);
  bool empty() const { return this->count == 0; }
  /// Returns the errors, one per line. Beyond the first 100 only the number of
  /// the others is given.
  std::string Text() const;

 private:
  std::string file;
  std::string text;
  int count = 0;
};

/// Parses INI text into sections and entries. Syntax errors are added to
/// `diagnostics`: a line that is neither section, entry nor comment, an entry
/// before the first section, an empty name or value, a section or key that is
/// given twice, a control character, a comment after a value.
IniFile ParseIni(std::string_view text, std::string_view name,
                 Diagnostics& diagnostics);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_INI_H_
