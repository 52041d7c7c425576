#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "held_server.h"
#include "http_client_loop.h"

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::future<HttpReply> Call(HttpClientLoop& client, const std::string& address,
                            const std::string& target, Duration timeout,
                            Duration slow_after) {
  const auto promise = std::make_shared<std::promise<HttpReply>>();
  HttpCall call;
  call.address = address;
  call.lane = "order";
  call.method = "POST";
  call.target = target;
  call.deadline = std::chrono::steady_clock::now() + timeout;
  call.slow_after = slow_after;
  call.done = [promise](HttpReply reply) {
    promise->set_value(std::move(reply));
  };
  client.Send(std::move(call));
  return promise->get_future();
}

/// Reads until the peer closes the connection. Throws Poco::TimeoutException if
/// it does not close it within 10 s.
bool WaitForClose(Poco::Net::StreamSocket& socket) {
  socket.setReceiveTimeout(Poco::Timespan(10, 0));
  std::array<char, 4096> buffer;
  while (socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) >
         0) {
  }
  return true;
}

void Answer(Poco::Net::StreamSocket& socket) {
  std::array<char, 4096> buffer;
  REQUIRE(socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) >
          0);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
}

TEST_CASE("A queued call fails at its own deadline", "[node][http]") {
  HeldServer server;
  HttpClientLoop client;
  client.Start();
  auto held = Call(client, server.Address(), "/held", seconds(60), {});
  server.WaitForHeld(1);
  auto late = Call(client, server.Address(), "/a", milliseconds(40), {});
  auto soon = Call(client, server.Address(), "/b", milliseconds(20), {});
  const HttpReply first = soon.get();
  CHECK(first.outcome == HttpOutcome::kNotSent);
  CHECK(first.delay == HttpDelay::kQueued);
  CHECK(late.get().delay == HttpDelay::kQueued);
  CHECK(held.wait_for(seconds(0)) == std::future_status::timeout);
  client.Stop();
}

TEST_CASE("A call whose deadline has passed is not sent", "[node][http]") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = listener.address().toString();
  HttpClientLoop client;
  client.Start();
  auto first = Call(client, address, "/a", seconds(60), {});
  Poco::Net::StreamSocket socket = listener.acceptConnection();
  Answer(socket);
  CHECK(first.get().outcome == HttpOutcome::kAnswered);

  const HttpReply reply = Call(client, address, "/b", seconds(-1), {}).get();
  CHECK(reply.outcome == HttpOutcome::kNotSent);
  CHECK(reply.delay == HttpDelay::kLoop);

  // The connection stays open, and nothing was written to it before the next
  // request.
  auto next = Call(client, address, "/c", seconds(60), {});
  std::array<char, 4096> buffer;
  const int count =
      socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  REQUIRE(count > 0);
  CHECK(std::string(buffer.data(), static_cast<std::size_t>(count))
            .starts_with("POST /c "));
  client.Stop();
}

TEST_CASE("A call that could not connect in time reports kConnecting",
          "[node][http]") {
  // The listener accepts no connection while its backlog is full.
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0), 0);
  const std::string address = listener.address().toString();
  std::array<Poco::Net::StreamSocket, 4> fill;
  for (Poco::Net::StreamSocket& socket : fill) {
    socket.connectNB(listener.address());
  }
  HttpClientLoop client;
  client.Start();
  auto first = Call(client, address, "/a", milliseconds(50), {});
  auto behind = Call(client, address, "/b", milliseconds(40), {});
  for (auto* call : {&behind, &first}) {
    const HttpReply reply = call->get();
    CHECK(reply.outcome == HttpOutcome::kNotSent);
    CHECK(reply.delay == HttpDelay::kConnecting);
  }
  client.Stop();
}

TEST_CASE("A refused connection is not reported as a delay", "[node][http]") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = listener.address().toString();
  listener.close();
  HttpClientLoop client;
  client.Start();
  const HttpReply reply = Call(client, address, "/a", seconds(60), {}).get();
  CHECK(reply.outcome == HttpOutcome::kNotSent);
  CHECK(reply.delay == HttpDelay::kNone);
  client.Stop();
}

TEST_CASE("The next call starts when the call in progress has failed",
          "[node][http]") {
  HeldServer server;
  HttpClientLoop client;
  client.Start();
  auto held = Call(client, server.Address(), "/held", milliseconds(50), {});
  auto next = Call(client, server.Address(), "/a", seconds(60), {});
  CHECK(held.get().outcome == HttpOutcome::kLost);
  CHECK(next.get().outcome == HttpOutcome::kAnswered);
  client.Stop();
}

TEST_CASE("A slow call's connection is closed after its response",
          "[node][http]") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = listener.address().toString();
  HttpClientLoop client;
  client.Start();
  auto slow = Call(client, address, "/slow", seconds(60), milliseconds(20));
  auto behind = Call(client, address, "/a", seconds(60), milliseconds(20));
  Poco::Net::StreamSocket first = listener.acceptConnection();
  Poco::Net::StreamSocket second = listener.acceptConnection();
  Answer(second);
  CHECK(behind.get().outcome == HttpOutcome::kAnswered);
  Answer(first);
  CHECK(slow.get().outcome == HttpOutcome::kAnswered);
  CHECK(WaitForClose(first));

  auto later = Call(client, address, "/b", seconds(60), milliseconds(20));
  Answer(second);
  CHECK(later.get().outcome == HttpOutcome::kAnswered);
  client.Stop();
}

}  // namespace
}  // namespace basilspread::node
