#include "requests/result_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace bench {

void Print(const Figures& figures) {
  fmt::print("{:<16} {:<18} {:<44} {:>12} {}\n", "scenario", "policy", "figure",
             "value", "unit");
  for (const Figure& figure : figures) {
    fmt::print("{:<16} {:<18} {:<44} {:>12.3f} {}\n", figure.scenario,
               figure.policy, figure.name, figure.value, figure.unit);
  }
}

void WriteCsv(const Figures& figures, const std::string& path) {
  std::ofstream file(path);
  file << "scenario,policy,figure,value,unit\n";
  for (const Figure& figure : figures) {
    file << fmt::format("{},{},{},{},{}\n", figure.scenario, figure.policy,
                        figure.name, figure.value, figure.unit);
  }
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

}  // namespace bench
