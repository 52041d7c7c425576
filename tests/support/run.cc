#include "support/run.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "support/process.h"

namespace test {
namespace {

constexpr std::chrono::seconds kRunTimeout(60);

/// A file without a name that takes one stream of a child process.
class Capture {
 public:
  Capture() : file(std::tmpfile()) {}
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  ~Capture() { std::fclose(this->file); }

  int descriptor() const { return fileno(this->file); }

  std::string Text() const {
    std::string text;
    std::rewind(this->file);
    for (int next = std::fgetc(this->file); next != EOF;
         next = std::fgetc(this->file)) {
      text.push_back(static_cast<char>(next));
    }
    return text;
  }

 private:
  std::FILE* file;
};

std::vector<std::string> Command(const std::string& binary,
                                 const std::vector<std::string>& arguments) {
  std::vector<std::string> command{binary};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return command;
}

}  // namespace

Output Run(std::vector<std::string> command) {
  const Capture out;
  const Capture err;
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (std::string& argument : command) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(out.descriptor(), STDOUT_FILENO);
    dup2(err.descriptor(), STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  int status = 0;
  Output output;
  if (!Eventually([&] { return waitpid(pid, &status, WNOHANG) != 0; },
                  kRunTimeout)) {
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
    return output;
  }
  output.status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  output.out = out.Text();
  output.err = err.Text();
  return output;
}

Output RunBasilctl(const std::vector<std::string>& arguments) {
  return Run(Command(BASILCTL_BINARY, arguments));
}

Output RunBasilspread(const std::vector<std::string>& arguments) {
  return Run(Command(BASILSPREAD_BINARY, arguments));
}

}  // namespace test
