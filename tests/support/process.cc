#include "support/process.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <condition_variable>
#include <limits>
#include <mutex>
#include <utility>

namespace test {
namespace {

constexpr std::chrono::milliseconds kPollInterval(20);

/// Waits on a condition that nobody signals.
void Pause(std::chrono::milliseconds duration) {
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, duration, [] { return false; });
}

void RedirectOutput(const std::string& path) {
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (file >= 0) {
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    close(file);
  }
}

bool IsFree(std::uint16_t port) {
  try {
    Poco::Net::ServerSocket socket;
    // By default POCO shares the port of another listener.
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), false, false);
    socket.listen();
    return true;
  } catch (const Poco::Exception&) {
    // Another process listens there.
    return false;
  }
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path,
                 std::vector<std::string> environment) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  this->pid = fork();
  if (this->pid == 0) {
    if (!log_path.empty()) {
      RedirectOutput(log_path);
    }
    // Connections of this program would not end while the child holds them.
    constexpr unsigned kFirstOther = STDERR_FILENO + 1;
    close_range(kFirstOther, std::numeric_limits<unsigned>::max(), 0);
    // Nothing outlives a test program that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (std::string& entry : environment) {
      putenv(entry.data());
    }
    execv(argv[0], argv.data());
    _exit(127);
  }
}

Process::~Process() { this->Kill(); }

Process::Process(Process&& other) noexcept
    : pid(std::exchange(other.pid, -1)) {}

Process& Process::operator=(Process&& other) noexcept {
  this->Kill();
  this->pid = std::exchange(other.pid, -1);
  return *this;
}

void Process::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds timeout) {
  int status = 0;
  const bool has_ended = Eventually(
      [this, &status] { return waitpid(this->pid, &status, WNOHANG) != 0; },
      timeout);
  if (!has_ended) {
    return std::nullopt;
  }
  this->pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void Process::Kill() {
  if (this->pid <= 0) {
    return;
  }
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = -1;
}

std::uint16_t FreePort() {
  // Below the ports that systems give to outgoing connections, which could
  // take one between this check and its use. Test programs that run side by
  // side begin at different ones.
  constexpr std::uint32_t kFirst = 10000;
  constexpr std::uint32_t kCount = 20000;
  constexpr std::uint32_t kSpacing = 397;
  static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * kSpacing;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    if (IsFree(port)) {
      return port;
    }
  }
}

bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    Pause(kPollInterval);
  }
  return true;
}

}  // namespace test
