#include <Poco/Exception.h>
#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "basilspread/config/node_settings.h"
#include "basilspread/config/tables.h"
#include "basilspread/platform/log_client.h"

namespace {

using basilspread::Result;
using basilspread::TablesRecord;

constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;
constexpr basilspread::Duration kLogTimeout = std::chrono::seconds(5);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw Poco::FileNotFoundException(path);
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

int Fail(const basilspread::Error& error) {
  fmt::print(stderr, "basilctl: {}: {}\n",
             basilspread::AnswerFor(error.kind).name, error.detail);
  return kExitBadInput;
}

int Publish(const cxxopts::ParseResult& arguments) {
  TablesRecord record;
  record.base.value = arguments["base"].as<std::uint64_t>();
  record.author = arguments["author"].as<std::string>();
  record.route_table = ReadFile(arguments["routes"].as<std::string>());
  record.pool_table = ReadFile(arguments["pools"].as<std::string>());
  const auto tables = basilspread::config::ParseTables(record);
  if (!tables) {
    return Fail(tables.error());
  }
  const auto endpoint =
      basilspread::config::ParseEndpoint(arguments["log"].as<std::string>());
  if (!endpoint) {
    return Fail(endpoint.error());
  }
  const basilspread::platform::LogClient log(
      endpoint.value().host, endpoint.value().port, kLogTimeout);
  basilspread::LogBatch batch;
  batch.writer.node.value = "basilctl";
  batch.writer.incarnation = std::random_device{}();
  batch.id.value = 1;
  batch.records.emplace_back(record);
  const auto appended = log.Append(basilspread::StreamName{"tables"}, batch);
  if (appended.result != basilspread::AppendResult::kStored) {
    fmt::print(stderr, "basilctl: the log did not confirm the edit\n");
    return kExitFailure;
  }
  fmt::print("The edit was published.\n");
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("basilctl", "Operates a basilspread cluster.");
  options.add_options()("command", "publish", cxxopts::value<std::string>())(
      "log", "address of the platform's log", cxxopts::value<std::string>())(
      "routes", "route table", cxxopts::value<std::string>())(
      "pools", "pool table", cxxopts::value<std::string>())(
      "base", "version that the edit was made against",
      cxxopts::value<std::uint64_t>())("author", "who edits",
                                       cxxopts::value<std::string>())(
      "help", "show this help")("version", "show the version");
  options.parse_positional({"command"});
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  if (arguments.count("version") > 0) {
    fmt::print("basilctl {}\n", BASILSPREAD_VERSION);
    return 0;
  }
  if (arguments.count("command") > 0 &&
      arguments["command"].as<std::string>() == "publish") {
    return Publish(arguments);
  }
  fmt::print(stderr, "basilctl: no such command; see --help\n");
  return kExitBadInput;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& exception) {
    fmt::print(stderr, "basilctl: {}\n", exception.what());
    return kExitBadInput;
  } catch (const Poco::Exception& exception) {
    fmt::print(stderr, "basilctl: {}\n", exception.displayText());
    return kExitFailure;
  }
}
