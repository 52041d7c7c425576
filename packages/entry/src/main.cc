#include <Poco/Exception.h>
#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "adapter.h"
#include "basilspread/config/node_settings.h"
#include "line_log.h"
#include "node.h"
#include "store_node.h"

namespace {

using basilspread::config::NodeSettings;

constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;
/// A settings file is a few kilobytes; more is a mistake.
constexpr std::size_t kMaxSettingsBytes = std::size_t{1} << 20U;

std::uint64_t DrawRandom() {
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

std::optional<NodeSettings> LoadSettings(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    fmt::print(stderr, "basilspread: {}: the file cannot be read\n", path);
    return std::nullopt;
  }
  if (text->size() > kMaxSettingsBytes) {
    fmt::print(stderr, "basilspread: {}: the file exceeds 1 MiB\n", path);
    return std::nullopt;
  }
  auto settings = basilspread::config::ParseNodeSettings(*text, path);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().detail);
    return std::nullopt;
  }
  return std::move(settings).value();
}

/// Signals are taken by one thread that waits for them; all other threads
/// inherit the blocked mask.
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

void AwaitStop(const sigset_t& signals,
               const std::function<void()>& request_stop) {
  while (true) {
    int number = 0;
    sigwait(&signals, &number);
    if (number == SIGHUP) {
      continue;
    }
    request_stop();
    return;
  }
}

template <typename Node>
int Run(const sigset_t& signals, Node& node) {
  std::thread waiter([&signals, &node] {
    AwaitStop(signals, [&node] { node.RequestStop(); });
  });
  waiter.detach();
  node.Run();
  return 0;
}

int Serve(NodeSettings settings) {
  settings.core.self.incarnation = DrawRandom();
  settings.core.seed = DrawRandom();
  basilspread::node::SetLogLevel(
      basilspread::node::LogLevelNamed(settings.log_level));
  const sigset_t signals = BlockSignals();
  if (settings.core.store.enabled) {
    basilspread::node::StoreNode node(std::move(settings),
                                      basilspread::adapter::MakeHooks);
    return Run(signals, node);
  }
  basilspread::node::Node node(std::move(settings));
  return Run(signals, node);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("basilspread",
                           "The entry process of the cluster scheduler.");
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
    fmt::print(stderr, "basilspread: --config FILE is missing\n");
    return kExitBadInput;
  }
  auto settings = LoadSettings(arguments["config"].as<std::string>());
  if (!settings) {
    return kExitBadInput;
  }
  if (arguments.count("check") > 0) {
    fmt::print("The settings are valid.\n");
    return 0;
  }
  return Serve(*std::move(settings));
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
