#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "held_server.h"
#include "http_client_loop.h"

namespace basilspread::node {
namespace {

HttpCall MakeCall(const HeldServer& server, std::string lane,
                  std::string target) {
  HttpCall call;
  call.address = server.Address();
  call.lane = std::move(lane);
  call.method = "POST";
  call.target = std::move(target);
  call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  call.slow_after = std::chrono::seconds(60);
  return call;
}

/// Makes a call and returns the value of ExchangesHandled at its reply.
std::uint64_t HandledByReply(HttpClientLoop& client, const HeldServer& server) {
  const auto handled = std::make_shared<std::promise<std::uint64_t>>();
  HttpCall call = MakeCall(server, "order", "/answered");
  call.done = [&client, handled](const HttpReply& /*reply*/) {
    handled->set_value(client.ExchangesHandled());
  };
  client.Send(std::move(call));
  return handled->get_future().get();
}

/// Returns how often exchanges are handled for one call while `held_calls`
/// other calls are open.
std::uint64_t HandledForOneCall(std::size_t held_calls) {
  HeldServer server;
  HttpClientLoop client;
  client.Start();
  for (std::size_t i = 0; i < held_calls; ++i) {
    HttpCall call = MakeCall(server, "wait" + std::to_string(i), "/held");
    call.done = [](const HttpReply& /*reply*/) {};
    client.Send(std::move(call));
  }
  server.WaitForHeld(held_calls);
  // The first call connects, so that the second one only uses the connection.
  const std::uint64_t before = HandledByReply(client, server);
  const std::uint64_t after = HandledByReply(client, server);
  client.Stop();
  return after - before;
}

TEST_CASE("The cost of a call does not depend on the number of open calls",
          "[node][http]") {
  const std::uint64_t with_10_open = HandledForOneCall(10);
  const std::uint64_t with_400_open = HandledForOneCall(400);
  // The exchange is handled when the call is queued and when the response is
  // read.
  CHECK(with_10_open == 2);
  CHECK(with_400_open == 2);
}

}  // namespace
}  // namespace basilspread::node
