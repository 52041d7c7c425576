#ifndef BASILSPREAD_CTL_SRC_EXIT_STATUS_H_
#define BASILSPREAD_CTL_SRC_EXIT_STATUS_H_

namespace basilspread::ctl {

/// Exit statuses of basilctl; documented in docs/OPERATIONS.md.
enum class ExitStatus {
  kOk = 0,
  kFailure = 1,
  kBadInput = 2,
  /// Another edit was accepted first.
  kEditConflict = 3,
  /// The platform or an entry process does not answer.
  kUnreachable = 4,
  /// The awaited state was not reached within the timeout.
  kTimeout = 5,
};

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_EXIT_STATUS_H_
