#ifndef BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_
#define BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_

#include <string>
#include <string_view>

#include "basilspread/config/ini.h"
#include "basilspread/config/reader.h"

namespace basilspread::config {

/// Returns the part of a section's title after the prefix: "layout" of "pool
/// layout" for the prefix "pool ". Empty without the prefix.
inline std::string NameAfterPrefix(std::string_view section,
                                   std::string_view prefix) {
  return section.starts_with(prefix)
             ? std::string(section.substr(prefix.size()))
             : std::string();
}

/// Adds an error when the name of a section is not valid.
inline void CheckName(const IniSection& section, std::string_view name,
                      Diagnostics& diagnostics) {
  if (!IsName(name)) {
    diagnostics.Add(section.line, section.name, "",
                    "the name may hold letters, digits, dots, dashes and "
                    "underscores only");
  }
}

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_
