// A small HTTP/1.1 server and client for the stand-ins of this review: one
// thread a connection, bodies with Content-Length only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  // Never answered; the connection stays open until the caller closes it.
  bool silent = false;
  // The connection is closed instead.
  bool closes = false;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline bool WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads one head and its body into the buffer; false at the end of the stream.
inline bool ReadMessage(int socket, std::string& buffer, std::string& head,
                        std::string& body) {
  std::size_t head_end = std::string::npos;
  std::size_t length = 0;
  while (true) {
    if (head_end == std::string::npos) {
      head_end = buffer.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        const std::string lower = Lower(buffer.substr(0, head_end));
        const std::size_t at = lower.find("content-length:");
        length = at == std::string::npos
                     ? 0
                     : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
      }
    }
    if (head_end != std::string::npos &&
        buffer.size() >= head_end + 4 + length) {
      head = buffer.substr(0, head_end);
      body = buffer.substr(head_end + 4, length);
      buffer.erase(0, head_end + 4 + length);
      return true;
    }
    char chunk[65536];
    const ssize_t count = recv(socket, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(count));
  }
}

inline HttpRequest ParseRequest(const std::string& head, std::string body) {
  HttpRequest request;
  std::size_t end = head.find("\r\n");
  const std::string line = head.substr(0, end);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  request.method = line.substr(0, first);
  const std::string target = line.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!query.empty()) {
    const std::size_t cut = query.find('&');
    const std::string pair = query.substr(0, cut);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query[pair.substr(0, equals)] =
          Unescape(pair.substr(equals + 1));
    }
    query = cut == std::string::npos ? "" : query.substr(cut + 1);
  }
  while (end != std::string::npos) {
    const std::size_t begin = end + 2;
    end = head.find("\r\n", begin);
    const std::string field = head.substr(
        begin, end == std::string::npos ? std::string::npos : end - begin);
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < field.size() && field[value] == ' ') {
        ++value;
      }
      request.headers[Lower(field.substr(0, colon))] = field.substr(value);
    }
  }
  request.body = std::move(body);
  return request;
}

// Listens on a free port of 127.0.0.1.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit HttpServer(Handler request_handler)
      : handler(std::move(request_handler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) !=
            0 ||
        listen(this->listener, 256) != 0 ||
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                    &size) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    this->port = ntohs(address.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  // Resets all open connections, as the crash of a process does.
  void ResetConnections() {
    const std::lock_guard lock(this->mutex);
    for (const int connection : this->open) {
      const linger now{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(connection, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (true) {
      const int connection =
          accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection >= 0) {
        std::thread([this, connection] { this->Serve(connection); }).detach();
      }
    }
  }

  void Serve(int connection) {
    const int yes = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    {
      const std::lock_guard lock(this->mutex);
      this->open.insert(connection);
    }
    std::string buffer;
    std::string head;
    std::string body;
    while (ReadMessage(connection, buffer, head, body)) {
      const HttpResponse response =
          this->handler(ParseRequest(head, std::move(body)));
      if (response.silent) {
        continue;
      }
      if (response.closes ||
          !WriteAll(connection,
                    "HTTP/1.1 " + std::to_string(response.status) +
                        " X\r\nContent-Type: " + response.type +
                        "\r\nContent-Length: " +
                        std::to_string(response.body.size()) + "\r\n\r\n" +
                        response.body)) {
        break;
      }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(connection);
    close(connection);
  }

  Handler handler;
  int listener = -1;
  int port = 0;
  std::mutex mutex;
  std::set<int> open;
};

struct HttpAnswer {
  int status = 0;  // 0: no answer
  std::string body;
};

// One call on a connection of its own.
inline HttpAnswer Call(const std::string& address, const std::string& method,
                       const std::string& target, const std::string& host,
                       const std::string& body, Millis timeout) {
  const std::size_t colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  HttpAnswer answer;
  std::string buffer;
  std::string head;
  const std::string request =
      method + " " + target + " HTTP/1.1\r\nHost: " + host +
      "\r\nDeadline-Milliseconds: " + std::to_string(timeout.count()) +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  if (connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0 &&
      WriteAll(connection, request) &&
      ReadMessage(connection, buffer, head, answer.body)) {
    answer.status = std::atoi(head.c_str() + 9);
  }
  close(connection);
  return answer;
}

}  // namespace review
