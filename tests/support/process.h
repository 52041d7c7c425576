#ifndef BASILSPREAD_TESTS_SUPPORT_PROCESS_H_
#define BASILSPREAD_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace test {

/// A child process that is killed when this goes out of scope.
class Process {
 public:
  /// Starts the program; its output goes to `log_path` when set. Entries of
  /// `environment` have the form NAME=VALUE.
  explicit Process(const std::vector<std::string>& arguments,
                   const std::string& log_path = "",
                   std::vector<std::string> environment = {});
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  /// -1 once it has ended.
  pid_t Id() const { return this->pid; }
  void Signal(int number) const;
  /// The exit status, or minus the signal that ended it; unset on timeout.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);
  /// SIGKILL, and waits for the end.
  void Kill();

 private:
  pid_t pid = -1;
};

/// A TCP port of the loopback that nobody listens on and no outgoing
/// connection is given.
std::uint16_t FreePort();

/// Checks the condition until it holds; false when the timeout passes first.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(20));

}  // namespace test

#endif  // BASILSPREAD_TESTS_SUPPORT_PROCESS_H_
