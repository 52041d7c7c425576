#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "http_client_loop.h"
#include "http_loop.h"

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

config::Endpoint PickEndpoint() {
  const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
  return {"127.0.0.1", probe.address().port()};
}

/// A server that answers all requests except those to /silent.
struct UnresponsiveServer {
  UnresponsiveServer() : endpoint(PickEndpoint()) {
    this->loop = std::make_unique<HttpLoop>(
        this->endpoint, HttpLimits{},
        HttpLoop::Hooks{[this](CallId call, const PayloadPtr& request) {
                          if (request->target != "/silent") {
                            this->loop->Answer(call, [] {
                              return MakeJsonResponse(200, "{}");
                            });
                          }
                        },
                        [](CallId) {}});
    this->loop->Start();
  }
  ~UnresponsiveServer() { this->loop->Stop(Duration::zero()); }

  config::Endpoint endpoint;
  std::unique_ptr<HttpLoop> loop;
};

std::future<HttpReply> Call(HttpClientLoop& client,
                            const UnresponsiveServer& server,
                            const std::string& target, Duration timeout) {
  const auto promise = std::make_shared<std::promise<HttpReply>>();
  HttpCall call;
  call.address = server.endpoint.ToString();
  call.lane = "order";
  call.method = "POST";
  call.target = target;
  call.deadline = std::chrono::steady_clock::now() + timeout;
  call.slow_after = milliseconds(50);
  call.done = [promise](HttpReply reply) {
    promise->set_value(std::move(reply));
  };
  client.Send(std::move(call));
  return promise->get_future();
}

TEST_CASE("A call without a response does not block the calls behind it",
          "[node][http]") {
  UnresponsiveServer server;
  HttpClientLoop client;
  client.Start();
  auto silent = Call(client, server, "/silent", seconds(2));
  auto behind = Call(client, server, "/a", seconds(1));
  auto last = Call(client, server, "/b", seconds(1));
  CHECK(behind.get().outcome == HttpOutcome::kAnswered);
  CHECK(last.get().outcome == HttpOutcome::kAnswered);
  CHECK(silent.get().outcome == HttpOutcome::kLost);
  client.Stop();
}

}  // namespace
}  // namespace basilspread::node
