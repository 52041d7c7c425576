#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "http_client_loop.h"

namespace basilspread::node {
namespace {

/// A server whose responses are written by the test, and a client.
struct ScriptedServer {
  ScriptedServer() { this->client.Start(); }
  ~ScriptedServer() { this->client.Stop(); }

  std::future<HttpReply> Call() {
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    HttpCall call;
    call.address = this->listener.address().toString();
    call.lane = "order";
    call.method = "POST";
    call.target = "/";
    call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    call.done = [promise](HttpReply reply) {
      promise->set_value(std::move(reply));
    };
    this->client.Send(std::move(call));
    return promise->get_future();
  }

  Poco::Net::StreamSocket Accept() {
    Poco::Net::StreamSocket socket = this->listener.acceptConnection();
    socket.setNoDelay(true);
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    return socket;
  }

  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  HttpClientLoop client;
};

/// Waits for bytes and returns them; empty if the peer has closed the
/// connection.
std::string Read(Poco::Net::StreamSocket& socket) {
  std::array<char, 4096> buffer;
  const int count =
      socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  return {buffer.data(), static_cast<std::size_t>(count)};
}

void Write(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

TEST_CASE("A response may arrive in parts of any size", "[node][http]") {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"a\"}\n";
  ScriptedServer server;
  auto first = server.Call();
  Poco::Net::StreamSocket socket = server.Accept();
  REQUIRE_FALSE(Read(socket).empty());
  for (const char byte : response) {
    Write(socket, std::string(1, byte));
  }
  CHECK(first.get().body == "{\"a\"}\n");

  auto second = server.Call();
  REQUIRE_FALSE(Read(socket).empty());
  Write(socket, response);
  CHECK(second.get().body == "{\"a\"}\n");
}

TEST_CASE("A malformed response fails its call and closes the connection",
          "[node][http]") {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\n{}", "nonsense\r\n\r\n"}) {
    CAPTURE(response);
    ScriptedServer server;
    auto call = server.Call();
    Poco::Net::StreamSocket socket = server.Accept();
    REQUIRE_FALSE(Read(socket).empty());
    Write(socket, response);
    const HttpReply reply = call.get();
    CHECK(reply.outcome == HttpOutcome::kLost);
    CHECK_FALSE(reply.reason.empty());
    CHECK(Read(socket).empty());
  }
}

TEST_CASE("An unterminated response head fails its call", "[node][http]") {
  ScriptedServer server;
  auto call = server.Call();
  Poco::Net::StreamSocket socket = server.Accept();
  REQUIRE_FALSE(Read(socket).empty());
  Write(socket, "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x'));
  CHECK(call.get().outcome == HttpOutcome::kLost);
}

TEST_CASE("A connection with bytes after the response is not reused",
          "[node][http]") {
  ScriptedServer server;
  auto first = server.Call();
  Poco::Net::StreamSocket socket = server.Accept();
  REQUIRE_FALSE(Read(socket).empty());
  Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 500");
  CHECK(first.get().body == "{}");
  CHECK(Read(socket).empty());
  auto second = server.Call();
  Poco::Net::StreamSocket other = server.Accept();
  REQUIRE_FALSE(Read(other).empty());
  Write(other, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
  CHECK(second.get().body == "[]");
}

}  // namespace
}  // namespace basilspread::node
