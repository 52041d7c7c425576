#include "internal/configuration.h"

#include <fmt/format.h>

#include <utility>

#include "internal/ownership.h"

namespace basilspread::internal::configuration {
namespace {

constexpr std::string_view kPart = "configuration";

}  // namespace

StreamName TablesStream() { return StreamName{"tables"}; }

void OnTablesRecord(Context& context, const TablesRecord& record) {
  ConfigurationState& configuration = context.state.configuration;
  if (record.base != configuration.tables.version) {
    context.Log(LogLevel::kInfo, kPart,
                fmt::format("Edit lost the race. author={} base={}",
                            record.author, record.base.value));
    return;
  }
  Result<Tables> parsed = context.state.hooks.parse_tables(record);
  if (!parsed) {
    context.Log(LogLevel::kWarning, kPart,
                fmt::format("Edit is invalid. author={} reason=\"{}\"",
                            record.author, parsed.error().detail));
    return;
  }
  configuration.tables = std::move(parsed).value();
  configuration.tables.version = TablesVersion{record.base.value + 1};
  configuration.source = record;
  context.Log(LogLevel::kInfo, kPart,
              fmt::format("Tables are in force. version={} author={}",
                          configuration.tables.version.value, record.author));
  ownership::OnTablesChanged(context);
}

bool IsReady(const Context& context) {
  return context.state.configuration.tables.version.value > 0;
}

}  // namespace basilspread::internal::configuration
