#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

#include "command_line.h"
#include "commands.h"

namespace basilspread::ctl {
namespace {

ExitStatus Run(const Arguments& arguments) {
  const auto& commands = Commands();
  const auto command = std::find_if(
      commands.begin(), commands.end(), [&arguments](const Command& candidate) {
        return candidate.name == arguments.command;
      });
  if (command == commands.end()) {
    fmt::print(stderr, "basilctl: unknown command \"{}\"; see --help\n",
               arguments.command);
    return ExitStatus::kBadInput;
  }
  if (arguments.operands.size() != command->operands) {
    fmt::print(stderr, "basilctl: usage: basilctl {}\n", command->usage);
    return ExitStatus::kBadInput;
  }
  return command->run(arguments);
}

ExitStatus Main(int argc, char** argv) {
  const CommandLine line = ParseCommandLine(argc, argv);
  return line.arguments ? Run(*line.arguments) : line.status;
}

}  // namespace
}  // namespace basilspread::ctl

int main(int argc, char** argv) {
  try {
    return static_cast<int>(basilspread::ctl::Main(argc, argv));
  } catch (const Poco::Exception& exception) {
    fmt::print(stderr, "basilctl: {}\n", exception.displayText());
  } catch (const std::exception& exception) {
    fmt::print(stderr, "basilctl: {}\n", exception.what());
  }
  return static_cast<int>(basilspread::ctl::ExitStatus::kFailure);
}
