#ifndef BASILSPREAD_CTL_SRC_COMMAND_LINE_H_
#define BASILSPREAD_CTL_SRC_COMMAND_LINE_H_

#include <optional>

#include "arguments.h"
#include "exit_status.h"

namespace basilspread::ctl {

/// The arguments, or the status to exit with at once, after help was shown or
/// an error reported.
struct CommandLine {
  std::optional<Arguments> arguments;
  ExitStatus status = ExitStatus::kOk;
};

CommandLine ParseCommandLine(int argc, char** argv);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_COMMAND_LINE_H_
