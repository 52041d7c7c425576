#ifndef BASILSPREAD_TESTS_SUPPORT_RUN_H_
#define BASILSPREAD_TESTS_SUPPORT_RUN_H_

#include <string>
#include <vector>

namespace test {

/// How a program ended and what it wrote.
struct Output {
  /// Minus the signal that ended it; -1000 when it did not end in time.
  int status = -1000;
  std::string out;
  std::string err;
};

/// Runs a program to its end.
Output Run(std::vector<std::string> command);

/// The binaries under test.
Output RunBasilctl(const std::vector<std::string>& arguments);
Output RunBasilspread(const std::vector<std::string>& arguments);

}  // namespace test

#endif  // BASILSPREAD_TESTS_SUPPORT_RUN_H_
