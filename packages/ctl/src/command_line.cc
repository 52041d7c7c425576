#include "command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <string>

#include "basilspread/config/reader.h"
#include "commands.h"
#include "files.h"

namespace basilspread::ctl {
namespace {

constexpr const char* kAddressesVariable = "BASILCTL_CONFIG";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("basilctl", "Operates a basilspread cluster.");
  options.custom_help("COMMAND [OPTIONS]");
  auto add = options.add_options();
  const auto text = [] { return cxxopts::value<std::string>(); };
  add("config", "file of addresses (default: $BASILCTL_CONFIG)", text());
  add("log", "address of the platform's log", text());
  add("hosts", "address of the platform's host list", text());
  add("admin", "addresses of entry processes for operators, comma-separated",
      text());
  add("http", "addresses of entry processes for callers, comma-separated",
      text());
  add("routes", "route table", text());
  add("pools", "pool table", text());
  add("base", "version that the edit was made against",
      cxxopts::value<std::uint64_t>());
  add("restore", "publish under this version after the log has lost all tables",
      cxxopts::value<std::uint64_t>());
  add("author", "author of the edit (default: $USER)", text());
  add("team", "team of the job", text());
  add("wait", "wait until the edit is in force everywhere");
  add("timeout", "time limit of a wait, for example 13s", text());
  add("json", "print JSON");
  add("help", "show this help");
  add("version", "show the version");
  add("command", "", text());
  add("operands", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command", "operands"});
  options.positional_help("");
  return options;
}

std::string TextOf(const cxxopts::ParseResult& parsed, const std::string& name,
                   const std::string& otherwise = "") {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>() : otherwise;
}

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

Result<Addresses> ReadAddressFile(const cxxopts::ParseResult& parsed) {
  const std::string path =
      TextOf(parsed, "config", EnvironmentVariable(kAddressesVariable));
  if (path.empty()) {
    return Addresses{};
  }
  BOOST_OUTCOME_TRY(text, ReadTextFile(path));
  return ParseAddresses(text, path);
}

/// Returns the addresses of an option; none when it is absent.
Result<std::vector<config::Endpoint>> EndpointsOf(
    const cxxopts::ParseResult& parsed, const std::string& name) {
  if (parsed.count(name) == 0) {
    return std::vector<config::Endpoint>{};
  }
  return ParseEndpoints(TextOf(parsed, name));
}

/// Reads the addresses of the file and the options; options take precedence.
Result<Addresses> ReadAddresses(const cxxopts::ParseResult& parsed) {
  BOOST_OUTCOME_TRY(from_file, ReadAddressFile(parsed));
  BOOST_OUTCOME_TRY(log, EndpointsOf(parsed, "log"));
  BOOST_OUTCOME_TRY(hosts, EndpointsOf(parsed, "hosts"));
  BOOST_OUTCOME_TRY(admin, EndpointsOf(parsed, "admin"));
  BOOST_OUTCOME_TRY(http, EndpointsOf(parsed, "http"));
  Addresses addresses = std::move(from_file);
  if (!log.empty()) {
    addresses.log = log.front();
  }
  if (!hosts.empty()) {
    addresses.hosts = hosts.front();
  }
  if (!admin.empty()) {
    addresses.admin = std::move(admin);
  }
  if (!http.empty()) {
    addresses.http = std::move(http);
  }
  return addresses;
}

Result<Arguments> ReadArguments(const cxxopts::ParseResult& parsed) {
  Arguments arguments;
  BOOST_OUTCOME_TRY(addresses, ReadAddresses(parsed));
  arguments.addresses = std::move(addresses);
  arguments.command = TextOf(parsed, "command");
  if (parsed.count("operands") > 0) {
    arguments.operands = parsed["operands"].as<std::vector<std::string>>();
  }
  arguments.routes = TextOf(parsed, "routes");
  arguments.pools = TextOf(parsed, "pools");
  arguments.author = TextOf(parsed, "author", EnvironmentVariable("USER"));
  arguments.team = TextOf(parsed, "team");
  arguments.json = parsed.count("json") > 0;
  arguments.wait = parsed.count("wait") > 0;
  if (parsed.count("base") > 0) {
    arguments.base = TablesVersion{parsed["base"].as<std::uint64_t>()};
  }
  if (parsed.count("restore") > 0) {
    arguments.restore = TablesVersion{parsed["restore"].as<std::uint64_t>()};
  }
  if (parsed.count("timeout") > 0) {
    const auto timeout = config::ParseDuration(TextOf(parsed, "timeout"));
    if (!timeout) {
      return Error{ErrorKind::kBadRequest,
                   "--timeout is not a duration such as 500ms or 13s"};
    }
    arguments.timeout = *timeout;
  }
  return arguments;
}

void ShowHelp(const cxxopts::Options& options) {
  fmt::print("{}\nCommands:\n", options.help());
  for (const Command& command : Commands()) {
    fmt::print("  {:<16} {}\n", command.usage, command.summary);
  }
}

}  // namespace

CommandLine ParseCommandLine(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      ShowHelp(options);
      return {};
    }
    if (parsed.count("version") > 0) {
      fmt::print("basilctl {}\n", BASILSPREAD_VERSION);
      return {};
    }
    Result<Arguments> arguments = ReadArguments(parsed);
    if (arguments) {
      return {std::move(arguments).value(), ExitStatus::kOk};
    }
    fmt::print(stderr, "basilctl: {}\n", arguments.error().detail);
  } catch (const cxxopts::exceptions::exception& exception) {
    fmt::print(stderr, "basilctl: {}\n", exception.what());
  }
  return {std::nullopt, ExitStatus::kBadInput};
}

}  // namespace basilspread::ctl
