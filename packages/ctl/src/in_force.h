#ifndef BASILSPREAD_CTL_SRC_IN_FORCE_H_
#define BASILSPREAD_CTL_SRC_IN_FORCE_H_

#include <string>
#include <vector>

#include "arguments.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/result.h"

namespace basilspread::ctl {

/// Whether, and after what time, a process has put a version in force.
struct InForce {
  std::string process;
  bool reached = false;
  Duration after{};
  /// Why the process cannot use the version or does not answer; else empty.
  std::string error_text;
};

/// Waits until every process of the arguments has the version, or a newer one,
/// in force, or the timeout passes. Errors: kBadRequest without an address.
Result<std::vector<InForce>> AwaitInForce(const Arguments& arguments,
                                          TablesVersion version);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_IN_FORCE_H_
