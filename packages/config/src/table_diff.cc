#include "basilspread/config/table_diff.h"

#include <map>
#include <set>
#include <string_view>

#include "basilspread/config/ini.h"

namespace basilspread::config {
namespace {

using Keys = std::map<std::string, std::string>;
using Sections = std::map<std::string, Keys>;

Sections Read(std::string_view text) {
  // Published tables have been checked, so that syntax errors are ignored here.
  Diagnostics ignored("");
  Sections sections;
  for (const IniSection& section : ParseIni(text, "", ignored).sections) {
    Keys& keys = sections[section.name];
    for (const IniEntry& entry : section.entries) {
      keys[entry.key] = entry.value;
    }
  }
  return sections;
}

template <typename Map>
std::set<std::string> UnionOfNames(const Map& left, const Map& right) {
  std::set<std::string> names;
  for (const Map* map : {&left, &right}) {
    for (const auto& [name, value] : *map) {
      names.insert(name);
    }
  }
  return names;
}

std::string ValueOf(const Keys& keys, const std::string& key) {
  const auto found = keys.find(key);
  return found == keys.end() ? "" : found->second;
}

void DiffTable(const std::string& table, const Sections& before,
               const Sections& after, std::vector<TableDifference>& result) {
  for (const std::string& name : UnionOfNames(before, after)) {
    const auto old = before.find(name);
    const auto changed = after.find(name);
    if (old == before.end()) {
      result.push_back(TableDifference{table, name, "", "", "added"});
      continue;
    }
    if (changed == after.end()) {
      result.push_back(TableDifference{table, name, "", "present", ""});
      continue;
    }
    for (const std::string& key : UnionOfNames(old->second, changed->second)) {
      const std::string old_value = ValueOf(old->second, key);
      const std::string new_value = ValueOf(changed->second, key);
      if (old_value != new_value) {
        result.push_back(
            TableDifference{table, name, key, old_value, new_value});
      }
    }
  }
}

}  // namespace

std::vector<TableDifference> DiffTables(const TablesRecord& before,
                                        const TablesRecord& after) {
  std::vector<TableDifference> result;
  DiffTable("routes", Read(before.route_table), Read(after.route_table),
            result);
  DiffTable("pools", Read(before.pool_table), Read(after.pool_table), result);
  return result;
}

}  // namespace basilspread::config
