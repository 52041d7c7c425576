#include "basilspread/core/configuration.h"

#include <fmt/format.h>

namespace basilspread {

std::string CheckTablesChange(const Tables& in_force, const Tables& next) {
  std::string faults;
  for (const auto& [name, pool] : next.pools) {
    const auto old = in_force.pools.find(name);
    if (old == in_force.pools.end() || old->second.shards == pool.shards) {
      continue;
    }
    faults += fmt::format(
        "{}pools.ini: [pool {}] shards: the count was published as {} and "
        "cannot become {}; use a pool of another name",
        faults.empty() ? "" : "\n", name.value, old->second.shards,
        pool.shards);
  }
  return faults;
}

}  // namespace basilspread
