#ifndef BASILSPREAD_CTL_SRC_IN_FORCE_H_
#define BASILSPREAD_CTL_SRC_IN_FORCE_H_

#include <string>
#include <vector>

#include "arguments.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/result.h"

namespace basilspread::ctl {

/// How long one process took to put a version in force.
struct InForce {
  std::string process;
  bool reached = false;
  Duration after{};
  /// What the process says, if it cannot use the version.
  std::string fault;
};

/// Waits until every process of the arguments has the version, or a newer
/// one, in force, or the timeout passes. Errors: kBadRequest.
Result<std::vector<InForce>> AwaitInForce(const Arguments& arguments,
                                          TablesVersion version);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_IN_FORCE_H_
