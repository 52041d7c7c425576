#include "basilspread/config/tables.h"

#include <fmt/format.h>

#include <memory>
#include <string>

#include "capacity/measures.h"
#include "capacity/usage.h"

namespace capacity {
namespace {

using namespace basilspread;  // NOLINT(google-build-using-namespace)

constexpr int kRoutes = 20;

TablesRecord MakeTables(int teams) {
  TablesRecord record;
  record.author = "bench";
  record.pool_table = "[pool layout]\ngroup = layout\nkind = workers\n";
  for (int i = 0; i < teams; ++i) {
    record.pool_table += fmt::format(
        "[team team-{}]\ncpu_millicores = 64000\nmemory_mebibytes = 262144\n"
        "accelerators = 0\n",
        i);
  }
  for (int i = 0; i < kRoutes; ++i) {
    record.route_table += fmt::format(
        "[route route-{}]\npool = layout\nclass = short\ndeadline = 5s\n", i);
  }
  return record;
}

}  // namespace

Slopes MeasureTables() {
  constexpr int kRepeats = 20;
  std::vector<Sample> bytes;
  std::vector<Sample> parse;
  std::vector<Sample> state;
  for (const int teams : {10, 100, 480}) {
    const TablesRecord record = MakeTables(teams);
    const auto size = static_cast<double>(teams);
    bytes.push_back({size, static_cast<double>(record.pool_table.size() +
                                               record.route_table.size())});
    const auto start = CpuTime();
    for (int i = 0; i < kRepeats; ++i) {
      const auto tables = config::ParseTables(record);
      if (!tables) {
        fmt::print(stderr, "{}\n", tables.error().detail);
      }
    }
    parse.push_back({size, Microseconds(CpuTime() - start) / kRepeats});
    const double before = HeapBytes();
    const auto kept =
        std::make_unique<Result<Tables>>(config::ParseTables(record));
    state.push_back({size, HeapBytes() - before});
  }
  return {FitLine("text of an edit, B", "teams", bytes),
          FitLine("CPU to parse an edit, us", "teams", parse),
          FitLine("state for the tables, B", "teams", state)};
}

}  // namespace capacity
