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

/// Makes a call; returns the exchanges looked at up to its reply.
std::uint64_t HandledByReply(HttpClientLoop& client, const HeldServer& server) {
  const auto looks = std::make_shared<std::promise<std::uint64_t>>();
  HttpCall call = MakeCall(server, "order", "/answered");
  call.done = [&client, looks](const HttpReply& /*reply*/) {
    looks->set_value(client.ExchangesHandled());
  };
  client.Send(std::move(call));
  return looks->get_future().get();
}

/// Exchanges looked at for one call beside so many that are not answered.
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
  // The first one connects.
  const std::uint64_t before = HandledByReply(client, server);
  const std::uint64_t after = HandledByReply(client, server);
  client.Stop();
  return after - before;
}

TEST_CASE("A call looks at as many exchanges beside 400 open ones as beside 10",
          "[node][http]") {
  const std::uint64_t beside_few = HandledForOneCall(10);
  const std::uint64_t beside_many = HandledForOneCall(400);
  // Taken up, and read.
  CHECK(beside_few == 2);
  CHECK(beside_many == 2);
}

}  // namespace
}  // namespace basilspread::node
