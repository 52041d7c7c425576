#include "support/process.h"

#include <Poco/Net/ServerSocket.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <set>
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

void RedirectStandardError(const std::string& path) {
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (file >= 0) {
    dup2(file, STDERR_FILENO);
    close(file);
  }
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  this->pid = fork();
  if (this->pid == 0) {
    if (!log_path.empty()) {
      RedirectStandardError(log_path);
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
  static std::set<std::uint16_t> given;
  while (true) {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::uint16_t port = socket.address().port();
    if (given.insert(port).second) {
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
