#ifndef BASILSPREAD_BENCH_RESULT_TABLE_H_
#define BASILSPREAD_BENCH_RESULT_TABLE_H_

#include <string>
#include <vector>

namespace bench {

/// One measured figure.
struct Figure {
  std::string scenario;
  std::string policy;
  std::string name;
  double value = 0;
  std::string unit;
};

using Figures = std::vector<Figure>;

/// Prints the figures as a table to standard output.
void Print(const Figures& figures);
void WriteCsv(const Figures& figures, const std::string& path);

/// The value below which the share of the values lies; 0 when there are none.
double Percentile(std::vector<double> values, double share);

}  // namespace bench

#endif  // BASILSPREAD_BENCH_RESULT_TABLE_H_
