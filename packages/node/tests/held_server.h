#ifndef BASILSPREAD_NODE_TESTS_HELD_SERVER_H_
#define BASILSPREAD_NODE_TESTS_HELD_SERVER_H_

#include <Poco/Net/ServerSocket.h>

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

#include "http_loop.h"

namespace basilspread::node {

/// A server that answers all requests except those to /held.
class HeldServer {
 public:
  HeldServer() : endpoint(PickEndpoint()) {
    this->loop = std::make_unique<HttpLoop>(
        this->endpoint, HttpLimits{},
        HttpLoop::Hooks{[this](CallId call, const PayloadPtr& request) {
                          this->OnRequest(call, *request);
                        },
                        [](CallId) {}});
    this->loop->Start();
  }
  ~HeldServer() { this->loop->Stop(Duration::zero()); }
  HeldServer(const HeldServer&) = delete;
  HeldServer& operator=(const HeldServer&) = delete;

  std::string Address() const { return this->endpoint.ToString(); }

  /// Waits until at least `count` requests to /held have arrived.
  void WaitForHeld(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->held_changed.wait(lock,
                            [this, count] { return this->held >= count; });
  }

 private:
  static config::Endpoint PickEndpoint() {
    const Poco::Net::ServerSocket probe(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", probe.address().port()};
  }

  void OnRequest(CallId call, const Payload& request) {
    if (request.target != "/held") {
      this->loop->Answer(call, [] { return MakeJsonResponse(200, "{}"); });
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      ++this->held;
    }
    this->held_changed.notify_one();
  }

  const config::Endpoint endpoint;
  std::unique_ptr<HttpLoop> loop;
  std::mutex mutex;
  std::condition_variable held_changed;
  std::size_t held = 0;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_TESTS_HELD_SERVER_H_
