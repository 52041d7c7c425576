#ifndef BASILSPREAD_CTL_SRC_COMMANDS_H_
#define BASILSPREAD_CTL_SRC_COMMANDS_H_

#include <functional>
#include <string_view>
#include <vector>

#include "arguments.h"
#include "exit_status.h"

namespace basilspread::ctl {

/// One row of the table of commands.
struct Command {
  std::string_view name;
  /// The name with placeholders of its operands.
  std::string_view usage;
  std::string_view summary;
  std::size_t operands = 0;
  std::function<ExitStatus(const Arguments&)> run;
};

const std::vector<Command>& Commands();

ExitStatus Check(const Arguments& arguments);
ExitStatus Diff(const Arguments& arguments);
ExitStatus Publish(const Arguments& arguments);
ExitStatus Show(const Arguments& arguments);
ExitStatus History(const Arguments& arguments);
ExitStatus Status(const Arguments& arguments);
ExitStatus Dump(const Arguments& arguments);
ExitStatus Submit(const Arguments& arguments);
ExitStatus Jobs(const Arguments& arguments);
ExitStatus Job(const Arguments& arguments);
ExitStatus Wait(const Arguments& arguments);
ExitStatus Cancel(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_COMMANDS_H_
