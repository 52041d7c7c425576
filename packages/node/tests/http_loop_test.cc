#include "http_loop.h"

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <stdexcept>
#include <vector>

#include "http_client_loop.h"

namespace basilspread::node {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan kReceiveTimeout(10, 0);

config::Endpoint FreeEndpoint() {
  const Poco::Net::ServerSocket probe(SocketAddress("127.0.0.1", 0));
  return {"127.0.0.1", probe.address().port()};
}

/// A server that answers each request with its own body.
class EchoServer {
 public:
  explicit EchoServer(const HttpLimits& limits)
      : endpoint(FreeEndpoint()),
        loop(this->endpoint, limits,
             HttpLoop::Hooks{[this](CallId call, const PayloadPtr& request) {
                               this->Echo(call, request);
                             },
                             [](CallId) {}}) {
    this->loop.Start();
  }

  StreamSocket Connect() const {
    StreamSocket socket(SocketAddress("127.0.0.1", this->endpoint.port));
    socket.setReceiveTimeout(kReceiveTimeout);
    return socket;
  }

  config::Endpoint endpoint;
  HttpLoop loop;

 private:
  void Echo(CallId call, const PayloadPtr& request) {
    this->loop.Answer(
        call, [request] { return MakeJsonResponse(200, request->body); });
  }
};

void Send(StreamSocket& socket, const std::string& text) {
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// Reads until the text ends with `suffix` or the connection ends.
std::string ReceiveUntil(StreamSocket& socket, const std::string& suffix) {
  std::string text;
  char buffer[1024];
  while (!text.ends_with(suffix)) {
    const int count = socket.receiveBytes(buffer, sizeof(buffer));
    if (count <= 0) {
      break;
    }
    text.append(buffer, static_cast<std::size_t>(count));
  }
  return text;
}

std::string Post(const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("Requests are served while idle and slow callers hold connections",
          "[node][http]") {
  HttpLimits limits;
  limits.max_connections = 32;
  const EchoServer server(limits);
  std::vector<StreamSocket> others;

  SECTION("idle callers fill the limit") {
    for (int i = 0; i < 32; ++i) {
      others.push_back(server.Connect());
    }
  }
  SECTION("slow callers stay below the limit") {
    for (int i = 0; i < 31; ++i) {
      others.push_back(server.Connect());
      Send(others.back(), "POST /x HTTP/1.1\r\nContent-Le");
    }
  }
  StreamSocket caller = server.Connect();
  Send(caller, Post("short"));
  REQUIRE(ReceiveUntil(caller, "short").ends_with("\r\n\r\nshort"));
}

TEST_CASE("One connection carries requests one after another", "[node][http]") {
  const EchoServer server({});
  StreamSocket caller = server.Connect();

  SECTION("each after the previous answer") {
    for (const std::string body : {"first", "second"}) {
      Send(caller, Post(body));
      REQUIRE(ReceiveUntil(caller, body).ends_with(body));
    }
  }
  SECTION("pipelined and answered in order") {
    Send(caller, Post("first") + Post("second") + Post("third"));
    const std::string text = ReceiveUntil(caller, "third");
    REQUIRE(text.find("first") < text.find("second"));
    REQUIRE(text.find("second") < text.find("third"));
  }
  SECTION("byte by byte") {
    for (const char byte : Post("slowly")) {
      Send(caller, std::string(1, byte));
    }
    REQUIRE(ReceiveUntil(caller, "slowly").ends_with("slowly"));
  }
}

TEST_CASE("An error while a request is handled ends only that request",
          "[node][http]") {
  const config::Endpoint endpoint = FreeEndpoint();
  HttpLoop* loop = nullptr;
  HttpLoop server(
      endpoint, {},
      HttpLoop::Hooks{[&loop](CallId call, const PayloadPtr& request) {
                        if (request->body == "bad request") {
                          throw std::out_of_range("no such route");
                        }
                        loop->Answer(call, [request]() -> PayloadPtr {
                          if (request->body == "bad answer") {
                            throw std::length_error("too long");
                          }
                          return MakeJsonResponse(200, request->body);
                        });
                      },
                      [](CallId) {}});
  loop = &server;
  server.Start();
  const auto connect = [&endpoint] {
    StreamSocket socket(SocketAddress("127.0.0.1", endpoint.port));
    socket.setReceiveTimeout(kReceiveTimeout);
    return socket;
  };
  StreamSocket first = connect();
  Send(first, Post("bad request"));
  CHECK(ReceiveUntil(first, "}").find("HTTP/1.1 500") == 0);
  StreamSocket second = connect();
  Send(second, Post("bad answer"));
  CHECK(ReceiveUntil(second, "}").empty());
  StreamSocket third = connect();
  Send(third, Post("good"));
  CHECK(ReceiveUntil(third, "good").ends_with("good"));
}

TEST_CASE("Malformed and oversized requests are rejected with a reason",
          "[node][http]") {
  HttpLimits limits;
  limits.max_body_bytes = 100;
  const EchoServer server(limits);
  StreamSocket caller = server.Connect();

  SECTION("binary bytes") {
    Send(caller, std::string("\x01\x02\xff\x00 \r\n\r\n", 9));
    REQUIRE(ReceiveUntil(caller, "}").find("400") != std::string::npos);
  }
  SECTION("an unterminated head") {
    Send(caller, "GET / HTTP/1.1\r\nX: " + std::string(40000, 'a'));
    REQUIRE(ReceiveUntil(caller, "}").find("413") != std::string::npos);
  }
  SECTION("a body above the limit") {
    Send(caller, Post(std::string(101, 'a')));
    REQUIRE(ReceiveUntil(caller, "}").find("too-large") != std::string::npos);
  }
  SECTION("a length given twice") {
    Send(caller,
         "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    REQUIRE(ReceiveUntil(caller, "}").find("400") != std::string::npos);
  }
  SECTION("a negative length") {
    Send(caller, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
    REQUIRE(ReceiveUntil(caller, "}").find("400") != std::string::npos);
  }
  StreamSocket other = server.Connect();
  Send(other, Post("still here"));
  REQUIRE(ReceiveUntil(other, "still here").ends_with("still here"));
}

TEST_CASE("A drain answers requests in flight and closes their connections",
          "[node][http]") {
  EchoServer server({});
  StreamSocket caller = server.Connect();
  Send(caller, "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nla");
  server.loop.Drain();
  Send(caller, "st");
  const std::string text = ReceiveUntil(caller, "nothing follows");
  REQUIRE(text.find("Connection: Close") != std::string::npos);
  REQUIRE(text.ends_with("last"));
}

TEST_CASE("A stopped server closes its idle connections", "[node][http]") {
  EchoServer server(HttpLimits{});
  StreamSocket caller = server.Connect();
  Send(caller, Post("first"));
  CHECK_THAT(ReceiveUntil(caller, "first"), Catch::EndsWith("first"));

  server.loop.Stop(std::chrono::seconds(1));
  CHECK(ReceiveUntil(caller, "more").empty());
}

TEST_CASE("A call left open by a stop is answered", "[node][http]") {
  const config::Endpoint endpoint = FreeEndpoint();
  std::promise<void> arrived;
  HttpLoop loop(endpoint, HttpLimits{},
                HttpLoop::Hooks{[&arrived](CallId, const PayloadPtr&) {
                                  arrived.set_value();
                                },
                                [](CallId) {}});
  loop.Start();
  StreamSocket caller(SocketAddress("127.0.0.1", endpoint.port));
  caller.setReceiveTimeout(kReceiveTimeout);
  Send(caller, Post("late"));
  arrived.get_future().wait();
  loop.Stop(std::chrono::milliseconds(500));
  CHECK_THAT(ReceiveUntil(caller, "never"), Catch::StartsWith("HTTP/1.1 504"));
}

TEST_CASE("A request larger than the socket's buffers is sent completely",
          "[http-client]") {
  constexpr std::size_t kBytes = std::size_t{12} << 20U;
  HttpLimits limits;
  limits.max_body_bytes = kBytes;
  const EchoServer server(limits);
  HttpClientLoop client;
  client.Start();
  std::promise<HttpReply> reply;
  HttpCall call;
  call.address = server.endpoint.ToString();
  call.lane = "large";
  call.method = "POST";
  call.target = "/";
  call.body = std::string(kBytes, 'x');
  call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  call.done = [&reply](const HttpReply& answer) { reply.set_value(answer); };
  client.Send(std::move(call));
  const HttpReply answer = reply.get_future().get();
  CHECK(answer.reason.empty());
  CHECK(answer.outcome == HttpOutcome::kAnswered);
  CHECK(answer.body.size() == kBytes);
}

TEST_CASE("Connections with incomplete requests make way for new ones",
          "[http]") {
  constexpr std::size_t kLimit = 8;
  HttpLimits limits;
  limits.max_connections = kLimit;
  const EchoServer server(limits);
  std::vector<StreamSocket> slow;
  for (std::size_t i = 0; i < kLimit; ++i) {
    slow.push_back(server.Connect());
    Send(slow.back(), "POST / HTTP/1.1\r\nHost: ");
  }
  for (int i = 0; i < 20; ++i) {
    StreamSocket caller = server.Connect();
    Send(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
    CHECK(ReceiveUntil(caller, "ok").ends_with("ok"));
  }
}

TEST_CASE("A call that nobody answers gets the late answer", "[node][http]") {
  // Guards against an operator who waits forever for a control thread that
  // hangs.
  HttpLimits limits;
  limits.answer_timeout = std::chrono::milliseconds(50);
  const config::Endpoint endpoint = FreeEndpoint();
  HttpLoop loop(endpoint, limits,
                {[](CallId, const PayloadPtr&) {}, [](CallId) {},
                 [] { return MakeJsonResponse(503, "late"); }});
  loop.Start();
  StreamSocket socket(SocketAddress("127.0.0.1", endpoint.port));
  socket.setReceiveTimeout(kReceiveTimeout);
  Send(socket, Post("x"));
  CHECK(ReceiveUntil(socket, "late").find("503") != std::string::npos);
}

TEST_CASE("Requests over the budget are closed and others served",
          "[node][http]") {
  // Guards against partial requests that exhaust the memory, or that push out
  // the request of an ordinary caller.
  constexpr std::size_t kBudget = 1'000'000;
  const ConnectionBudgetPtr budget(new ConnectionBudget({kBudget, 1000}, {}));
  const config::Endpoint endpoint = FreeEndpoint();
  HttpLoop loop(endpoint, {},
                {[&loop](CallId call, const PayloadPtr& request) {
                   loop.Answer(call, [request] {
                     return MakeJsonResponse(200, request->body);
                   });
                 },
                 [](CallId) {}},
                budget);
  loop.Start();
  const std::string body(200'000, 'x');
  std::vector<StreamSocket> partial;
  for (int i = 0; i < 10; ++i) {
    partial.emplace_back(SocketAddress("127.0.0.1", endpoint.port));
    Send(partial.back(), Post(body).substr(0, body.size()));
  }
  StreamSocket socket(SocketAddress("127.0.0.1", endpoint.port));
  socket.setReceiveTimeout(kReceiveTimeout);
  Send(socket, Post(body + "!"));
  CHECK(ReceiveUntil(socket, "!").find("200 OK") != std::string::npos);
  CHECK(budget->Usage().bytes <= kBudget);
  CHECK(budget->Usage().connections < 11);
}

// Guards against calls of two runs of a process that have the same number.
TEST_CASE("Calls are numbered from the call that the hook is given", "[http]") {
  const std::function<CallId()> number = NumberCallsAfter(CallId{41});
  CHECK(number() == CallId{42});
  CHECK(number() == CallId{43});
}

}  // namespace
}  // namespace basilspread::node
