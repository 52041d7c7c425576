#ifndef BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_
#define BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_

#include <string>
#include <string_view>

namespace basilspread::config {

/// "pool layout" gives "layout" for the prefix "pool "; else empty.
inline std::string NameAfter(std::string_view section,
                             std::string_view prefix) {
  return section.starts_with(prefix)
             ? std::string(section.substr(prefix.size()))
             : std::string();
}

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_SECTION_NAME_H_
