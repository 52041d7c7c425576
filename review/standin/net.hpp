// Event loop with timers, an HTTP/1.1 server and client, and child processes.
// Single-threaded; the standard library and POSIX only.
#ifndef REVIEW_STANDIN_NET_HPP_
#define REVIEW_STANDIN_NET_HPP_

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace review {

using Ms = std::chrono::milliseconds;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Request {
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;  // lower-case names
  std::uint64_t connection = 0;
};

struct Response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
};

class Loop {
 public:
  using Handler = std::function<void(const Request&)>;
  /// Status 0: no answer.
  using Done = std::function<void(int status, const std::string& body)>;

  void At(std::int64_t when, std::function<void()> action) {
    this->timers.emplace(when, std::move(action));
  }
  void In(std::int64_t delay, std::function<void()> action) {
    this->At(NowMs() + delay, std::move(action));
  }

  /// Listens on a free loopback port and returns it.
  int Listen(Handler handler) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    if (fd < 0 ||
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
      throw std::runtime_error("cannot listen");
    }
    const int port = PortOf(fd);
    this->listeners[fd] = std::move(handler);
    return port;
  }

  void Reply(std::uint64_t connection, const Response& response,
             std::int64_t delay = 0) {
    if (delay > 0) {
      this->In(delay, [this, connection, response] {
        this->Reply(connection, response);
      });
      return;
    }
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
      return;
    }
    Connection& c = *found->second;
    c.output += "HTTP/1.1 " + std::to_string(response.status) +
                " X\r\nContent-Type: " + response.type +
                "\r\nContent-Length: " + std::to_string(response.body.size()) +
                "\r\n\r\n" + response.body;
    c.answering = false;
    this->Flush(c);
    this->TakeRequests(connection);
  }
  /// Closes the connection without an answer.
  void Drop(std::uint64_t connection) { this->Close(connection); }

  /// One request on a connection of its own.
  void Call(int port, const std::string& method, const std::string& target,
            const std::string& headers, const std::string& body,
            std::int64_t timeout, Done done) {
    auto call = std::make_unique<Outgoing>();
    call->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    call->done = std::move(done);
    call->output = method + " " + target + " HTTP/1.1\r\n" + headers +
                   "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
    const int status = connect(
        call->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const std::uint64_t id = ++this->last_id;
    const bool failed = status != 0 && errno != EINPROGRESS;
    this->calls[id] = std::move(call);
    if (failed) {
      this->In(1, [this, id] { this->FinishCall(id, 0, ""); });
      return;
    }
    this->In(timeout, [this, id] { this->FinishCall(id, 0, ""); });
  }

  /// Runs until Stop or the deadline.
  void Run(std::int64_t until) {
    this->stopped = false;
    while (!this->stopped && NowMs() < until) {
      this->Turn();
    }
  }
  void Stop() { this->stopped = true; }

 private:
  struct Connection {
    int fd = -1;
    int listener = -1;
    std::string input;
    std::string output;
    bool answering = false;
  };
  struct Outgoing {
    int fd = -1;
    std::string output;
    std::string input;
    Done done;
  };

  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

 public:
  static int PortOf(int fd) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
  }

 private:
  void Turn() {
    while (!this->timers.empty() && this->timers.begin()->first <= NowMs()) {
      auto action = std::move(this->timers.begin()->second);
      this->timers.erase(this->timers.begin());
      action();
    }
    std::vector<pollfd> polls;
    std::vector<std::pair<int, std::uint64_t>> what;
    for (const auto& [fd, handler] : this->listeners) {
      polls.push_back({fd, POLLIN, 0});
      what.emplace_back(0, fd);
    }
    for (const auto& [id, c] : this->connections) {
      polls.push_back({c->fd,
                       static_cast<short>(POLLIN |
                                          (c->output.empty() ? 0 : POLLOUT)),
                       0});
      what.emplace_back(1, id);
    }
    for (const auto& [id, c] : this->calls) {
      polls.push_back({c->fd,
                       static_cast<short>(POLLIN |
                                          (c->output.empty() ? 0 : POLLOUT)),
                       0});
      what.emplace_back(2, id);
    }
    std::int64_t wait = 20;
    if (!this->timers.empty()) {
      wait = std::clamp<std::int64_t>(this->timers.begin()->first - NowMs(), 0,
                                      wait);
    }
    poll(polls.data(), polls.size(), static_cast<int>(wait));
    for (std::size_t i = 0; i < polls.size(); ++i) {
      if (polls[i].revents == 0) {
        continue;
      }
      if (what[i].first == 0) {
        this->Accept(static_cast<int>(what[i].second));
      } else if (what[i].first == 1) {
        this->OnConnection(what[i].second, polls[i].revents);
      } else {
        this->OnCall(what[i].second, polls[i].revents);
      }
    }
  }

  void Accept(int listener) {
    while (true) {
      const int fd =
          accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      auto c = std::make_unique<Connection>();
      c->fd = fd;
      c->listener = listener;
      this->connections[++this->last_id] = std::move(c);
    }
  }

  void OnConnection(std::uint64_t id, short events) {
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
      return;
    }
    Connection& c = *found->second;
    if ((events & POLLOUT) != 0) {
      this->Flush(c);
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
      return;
    }
    char buffer[65536];
    const ssize_t count = recv(c.fd, buffer, sizeof(buffer), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      this->Close(id);
      return;
    }
    if (count > 0) {
      c.input.append(buffer, static_cast<std::size_t>(count));
      this->TakeRequests(id);
    }
  }

  void TakeRequests(std::uint64_t id) {
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
      return;
    }
    Connection& c = *found->second;
    if (c.answering) {
      return;
    }
    const std::size_t end = c.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    Request request;
    request.connection = id;
    std::size_t line_end = c.input.find("\r\n");
    const std::string first = c.input.substr(0, line_end);
    const std::size_t a = first.find(' ');
    const std::size_t b = first.find(' ', a + 1);
    request.method = first.substr(0, a);
    request.target = first.substr(a + 1, b - a - 1);
    std::size_t at = line_end + 2;
    while (at < end + 2) {
      line_end = c.input.find("\r\n", at);
      const std::string line = c.input.substr(at, line_end - at);
      at = line_end + 2;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      request.headers[name] = line.substr(value);
    }
    std::size_t length = 0;
    if (request.headers.contains("content-length")) {
      length = std::stoul(request.headers["content-length"]);
    }
    if (c.input.size() < end + 4 + length) {
      return;
    }
    request.body = c.input.substr(end + 4, length);
    c.input.erase(0, end + 4 + length);
    c.answering = true;
    const Handler handler = this->listeners.at(c.listener);
    handler(request);
  }

  void Flush(Connection& c) {
    while (!c.output.empty()) {
      const ssize_t count =
          send(c.fd, c.output.data(), c.output.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      c.output.erase(0, static_cast<std::size_t>(count));
    }
  }

  void Close(std::uint64_t id) {
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
      close(found->second->fd);
      this->connections.erase(found);
    }
  }

  void OnCall(std::uint64_t id, short events) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    Outgoing& call = *found->second;
    if ((events & POLLOUT) != 0 && !call.output.empty()) {
      const ssize_t count =
          send(call.fd, call.output.data(), call.output.size(), MSG_NOSIGNAL);
      if (count > 0) {
        call.output.erase(0, static_cast<std::size_t>(count));
      } else if (count < 0 && errno != EAGAIN) {
        this->FinishCall(id, 0, "");
        return;
      }
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
      return;
    }
    char buffer[65536];
    const ssize_t count = recv(call.fd, buffer, sizeof(buffer), 0);
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count <= 0) {
      this->FinishCall(id, 0, "");
      return;
    }
    call.input.append(buffer, static_cast<std::size_t>(count));
    const std::size_t end = call.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    std::string head = call.input.substr(0, end + 2);
    std::transform(head.begin(), head.end(), head.begin(), ::tolower);
    std::size_t length = 0;
    const std::size_t at = head.find("content-length:");
    if (at != std::string::npos) {
      length = std::stoul(head.substr(at + 15));
    }
    if (call.input.size() >= end + 4 + length) {
      const int status = std::stoi(call.input.substr(9, 3));
      this->FinishCall(id, status, call.input.substr(end + 4, length));
    }
  }

  void FinishCall(std::uint64_t id, int status, const std::string& body) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    close(found->second->fd);
    const Done done = std::move(found->second->done);
    this->calls.erase(found);
    done(status, body);
  }

  bool stopped = false;
  std::uint64_t last_id = 0;
  std::multimap<std::int64_t, std::function<void()>> timers;
  std::map<int, Handler> listeners;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
  std::map<std::uint64_t, std::unique_ptr<Outgoing>> calls;
};

/// A port that was free a moment ago, below those of outgoing connections.
inline int FreePort() {
  static int next = 12000 + static_cast<int>(getpid() % 200) * 80;
  for (int tries = 0; tries < 20000; ++tries) {
    next = next >= 31999 ? 12000 : next + 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return next;
    }
  }
  throw std::runtime_error("no free port");
}

/// A child process; ended when this goes out of scope.
class Process {
 public:
  ~Process() { this->End(); }
  void Start(const std::vector<std::string>& arguments,
             const std::string& log) {
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      std::vector<char*> argv;
      for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
      }
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }
  /// Whether it has ended by itself or by a signal.
  bool HasEnded() {
    if (this->pid > 0 && waitpid(this->pid, &this->status, WNOHANG) > 0) {
      this->pid = -1;
    }
    return this->pid < 0;
  }
  void End() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      kill(this->pid, SIGCONT);
      waitpid(this->pid, &this->status, 0);
      this->pid = -1;
    }
  }
  int status = 0;

 private:
  pid_t pid = -1;
};

}  // namespace review

#endif  // REVIEW_STANDIN_NET_HPP_
