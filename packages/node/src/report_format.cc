#include "report_format.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace basilspread::node {
namespace {

constexpr unsigned kIndent = 2;

Poco::JSON::Array ToArray(const ReportSection& section) {
  Poco::JSON::Array rows;
  for (const ReportRow& row : section.rows) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const auto& [name, value] : row) {
      object.set(name, value);
    }
    rows.add(object);
  }
  return rows;
}

std::vector<std::size_t> ColumnWidths(const ReportSection& section) {
  std::vector<std::size_t> widths;
  for (const ReportRow& row : section.rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] =
          std::max({widths[i], row[i].first.size(), row[i].second.size()});
    }
  }
  return widths;
}

std::string FormatLine(const ReportRow& row,
                       const std::vector<std::size_t>& widths, bool is_head) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    const std::string& cell = is_head ? row[i].first : row[i].second;
    line += fmt::format("{:<{}}  ", cell, widths[i]);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string FormatJson(const StateReport& report) {
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const ReportSection& section : report) {
    root.set(section.title, ToArray(section));
  }
  std::ostringstream out;
  root.stringify(out, kIndent);
  return out.str() + "\n";
}

std::string FormatText(const StateReport& report) {
  std::string text;
  for (const ReportSection& section : report) {
    text += fmt::format("== {}\n", section.title);
    const std::vector<std::size_t> widths = ColumnWidths(section);
    if (!section.rows.empty()) {
      text += FormatLine(section.rows.front(), widths, true);
    }
    for (const ReportRow& row : section.rows) {
      text += FormatLine(row, widths, false);
    }
    text += "\n";
  }
  return text;
}

}  // namespace basilspread::node
