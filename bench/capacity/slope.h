#ifndef BASILSPREAD_BENCH_CAPACITY_SLOPE_H_
#define BASILSPREAD_BENCH_CAPACITY_SLOPE_H_

#include <string>
#include <vector>

namespace capacity {

/// A figure measured at one size.
struct Sample {
  double size = 0;
  double value = 0;
};

/// A figure as a line over the size.
struct Slope {
  /// What is measured and its unit, "bytes sent, B/s".
  std::string name;
  /// What the size counts, "members".
  std::string over;
  std::vector<Sample> samples;
  double base = 0;
  double per_unit = 0;
};

/// Least squares over the samples.
Slope FitLine(std::string name, std::string over, std::vector<Sample> samples);

/// One line of the result: the samples and the fitted line.
void Print(const Slope& slope);

}  // namespace capacity

#endif  // BASILSPREAD_BENCH_CAPACITY_SLOPE_H_
