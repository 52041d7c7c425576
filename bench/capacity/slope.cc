#include "capacity/slope.h"

#include <fmt/format.h>

#include <utility>

namespace capacity {

Slope FitLine(std::string name, std::string over, std::vector<Sample> samples) {
  Slope slope;
  slope.name = std::move(name);
  slope.over = std::move(over);
  slope.samples = std::move(samples);
  const auto count = static_cast<double>(slope.samples.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Sample& sample : slope.samples) {
    sum_x += sample.size;
    sum_y += sample.value;
    sum_xx += sample.size * sample.size;
    sum_xy += sample.size * sample.value;
  }
  const double spread = count * sum_xx - sum_x * sum_x;
  slope.per_unit = (count * sum_xy - sum_x * sum_y) / spread;
  slope.base = (sum_y - slope.per_unit * sum_x) / count;
  return slope;
}

void Print(const Slope& slope) {
  std::string samples;
  for (const Sample& sample : slope.samples) {
    samples += fmt::format(" {:g}:{:.6g}", sample.size, sample.value);
  }
  fmt::print("{:<40} = {:.6g} + {:.6g} * {:<18} |{}\n", slope.name, slope.base,
             slope.per_unit, slope.over, samples);
}

}  // namespace capacity
