#include <Poco/Exception.h>
#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "adapter.h"
#include "allocator.h"
#include "basilspread/config/node_settings.h"
#include "line_log.h"
#include "node.h"
#include "store_node.h"

namespace {

using basilspread::Error;
using basilspread::ErrorKind;
using basilspread::LogLevel;
using basilspread::Result;
using basilspread::config::NodeSettings;
using basilspread::node::Log;
using basilspread::node::LogLevelNamed;
using basilspread::node::LogSession;
using basilspread::node::SetLogLevel;

constexpr std::string_view kPart = "process";
constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;
/// Size limit of the settings file, which usually has a few kilobytes.
constexpr std::size_t kMaxSettingsBytes = std::size_t{1} << 20U;

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text(kMaxSettingsBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

Result<NodeSettings> LoadSettings(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return Error{ErrorKind::kInvalidSettings,
                 fmt::format("{}: the settings file cannot be read", path)};
  }
  if (text->size() > kMaxSettingsBytes) {
    return Error{ErrorKind::kInvalidSettings,
                 fmt::format("{}: the settings file exceeds 1 MiB", path)};
  }
  return basilspread::config::ParseNodeSettings(*text, path);
}

/// Reads the settings file again and applies the log level. All other settings
/// are read at the start only.
void Reload(const std::string& path) {
  const Result<NodeSettings> settings = LoadSettings(path);
  if (!settings) {
    Log(LogLevel::kError, kPart,
        "Settings cannot be reloaded; the current ones stay in effect.",
        {{"reason", settings.error().detail}});
    return;
  }
  SetLogLevel(LogLevelNamed(settings.value().log_level));
  Log(LogLevel::kInfo, kPart,
      "Settings reloaded; only the log level is applied.",
      {{"file", path}, {"log_level", settings.value().log_level}});
}

/// Blocks the signals that the waiting thread receives with sigwait. All
/// threads that are started later inherit the mask.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

struct SignalHooks {
  std::function<void()> stop;
  std::function<void()> reload;
};

void HandleSignals(const sigset_t& signals, const SignalHooks& hooks) {
  while (true) {
    int number = 0;
    sigwait(&signals, &number);
    if (number == SIGHUP) {
      hooks.reload();
      continue;
    }
    hooks.stop();
    return;
  }
}

/// Runs the node until it is stopped, then exits the process.
template <typename Node>
[[noreturn]] void Run(const sigset_t& signals, Node& node,
                      const std::string& path, LogSession& log) {
  std::thread signal_thread([&signals, &node, path] {
    HandleSignals(signals,
                  {[&node] { node.RequestStop(); }, [path] { Reload(path); }});
  });
  signal_thread.detach();
  node.Run();
  log.End();
  // All work is finished. Joining the threads that read from peers would delay
  // the exit until each peer closes its connection.
  std::_Exit(0);
}

[[noreturn]] void Serve(NodeSettings settings, const std::string& path) {
  settings.core.self.incarnation = RandomNumber();
  settings.core.seed = RandomNumber();
  basilspread::node::ConfigureAllocator();
  const sigset_t signals = BlockSignals();
  LogSession log(
      LogLevelNamed(settings.log_level),
      {settings.core.self.node.value, settings.core.self.incarnation});
  if (settings.core.store.enabled) {
    basilspread::node::StoreNode node(std::move(settings),
                                      basilspread::adapter::MakeHooks);
    Run(signals, node, path, log);
  }
  basilspread::node::Node node(std::move(settings));
  Run(signals, node, path, log);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("basilspread",
                           "Entry process of the cluster scheduler.");
  options.add_options()("config", "settings file (INI)",
                        cxxopts::value<std::string>())(
      "check", "check the settings and exit")("help", "show this help")(
      "version", "show the version");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  if (arguments.count("version") > 0) {
    fmt::print("basilspread {}\n", BASILSPREAD_VERSION);
    return 0;
  }
  if (arguments.count("config") == 0) {
    fmt::print(stderr, "basilspread: the option --config FILE is required\n");
    return kExitBadInput;
  }
  const auto path = arguments["config"].as<std::string>();
  Result<NodeSettings> settings = LoadSettings(path);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().detail);
    return kExitBadInput;
  }
  if (arguments.count("check") > 0) {
    fmt::print("The settings are valid.\n");
    return 0;
  }
  Serve(std::move(settings).value(), path);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& exception) {
    fmt::print(stderr, "basilspread: {}\n", exception.what());
    return kExitBadInput;
  } catch (const Poco::Exception& exception) {
    fmt::print(stderr, "basilspread: {}\n", exception.displayText());
    return kExitFailure;
  } catch (const std::exception& exception) {
    fmt::print(stderr, "basilspread: {}\n", exception.what());
    return kExitFailure;
  }
}
