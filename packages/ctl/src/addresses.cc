#include <algorithm>

#include "arguments.h"
#include "basilspread/config/ini.h"
#include "basilspread/config/reader.h"

namespace basilspread::ctl {
namespace {

void ReadList(config::SectionReader& reader, std::string_view key,
              std::vector<config::Endpoint>& target) {
  std::vector<std::string> items;
  reader.Read(key, items);
  for (const std::string& item : items) {
    Result<config::Endpoint> parsed = config::ParseEndpoint(item);
    if (parsed) {
      target.push_back(parsed.value());
    } else {
      reader.AddError(key, parsed.error().detail);
    }
  }
}

void ReadOne(config::SectionReader& reader, std::string_view key,
             std::optional<config::Endpoint>& target) {
  std::vector<config::Endpoint> endpoints;
  ReadList(reader, key, endpoints);
  if (endpoints.size() > 1) {
    reader.AddError(key, "only one address is allowed");
  } else if (!endpoints.empty()) {
    target = endpoints.front();
  }
}

}  // namespace

Result<Addresses> ParseAddresses(std::string_view text,
                                 std::string_view file_name) {
  config::Diagnostics diagnostics{std::string(file_name)};
  const config::IniFile file = config::ParseIni(text, file_name, diagnostics);
  Addresses addresses;
  for (const config::IniSection& section : file.sections) {
    if (section.name != "cluster") {
      diagnostics.Add(section.line, section.name, "", "unknown section");
      continue;
    }
    config::SectionReader reader(section, diagnostics);
    ReadOne(reader, "log", addresses.log);
    ReadOne(reader, "hosts", addresses.hosts);
    ReadList(reader, "admin", addresses.admin);
    ReadList(reader, "http", addresses.http);
    reader.Finish();
  }
  if (!diagnostics.empty()) {
    return Error{ErrorKind::kInvalidSettings, diagnostics.Text()};
  }
  return addresses;
}

Result<std::vector<config::Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<config::Endpoint> endpoints;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    BOOST_OUTCOME_TRY(endpoint,
                      config::ParseEndpoint(text.substr(begin, comma - begin)));
    endpoints.push_back(endpoint);
    begin = comma + 1;
  }
  return endpoints;
}

}  // namespace basilspread::ctl
