#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "held_server.h"
#include "http_client_loop.h"

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records the turns that a loop reports.
class Turns {
 public:
  HttpClientLoop::OnTurn Hook() {
    return [this](const ClientTurn& turn) {
      const std::lock_guard lock(this->mutex);
      this->open_calls = turn.open_calls;
      this->seen.insert(turn.open_calls);
      this->all_took_time = this->all_took_time && turn.took > Duration::zero();
      this->has_changed.notify_one();
    };
  }

  /// Waits until a turn has reported `count` open calls; false on a timeout.
  bool HaveReported(std::size_t count) {
    std::unique_lock lock(this->mutex);
    return this->has_changed.wait_for(
        lock, kTimeout, [this, count] { return this->seen.contains(count); });
  }

  /// Waits until the last turn reported `count` open calls; false on a timeout.
  bool Reach(std::size_t count) {
    std::unique_lock lock(this->mutex);
    return this->has_changed.wait_for(
        lock, kTimeout, [this, count] { return this->open_calls == count; });
  }

  bool AllTookTime() {
    const std::lock_guard lock(this->mutex);
    return this->all_took_time;
  }

 private:
  static constexpr seconds kTimeout{10};

  std::mutex mutex;
  std::condition_variable has_changed;
  std::size_t open_calls = 0;
  std::set<std::size_t> seen;
  bool all_took_time = true;
};

TEST_CASE("Each turn reports the number of open calls", "[node][http]") {
  HeldServer server;
  Turns turns;
  HttpClientLoop client(turns.Hook());
  client.Start();
  const auto send = [&](std::string target, Duration timeout,
                        Duration slow_after) {
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    HttpCall call;
    call.address = server.Address();
    call.lane = "order";
    call.method = "POST";
    call.target = std::move(target);
    call.deadline = std::chrono::steady_clock::now() + timeout;
    call.slow_after = slow_after;
    call.done = [promise](HttpReply reply) {
      promise->set_value(std::move(reply));
    };
    client.Send(std::move(call));
    return promise->get_future();
  };

  SECTION("While calls wait behind each other") {
    send("/held", seconds(60), Duration::zero());
    send("/a", seconds(60), Duration::zero());
    send("/b", milliseconds(200), Duration::zero());
    CHECK(turns.HaveReported(3));
    CHECK(turns.Reach(2));
  }

  SECTION("When calls overtake a slow one") {
    send("/held", seconds(60), milliseconds(20));
    auto first = send("/a", seconds(60), milliseconds(20));
    auto second = send("/b", seconds(60), milliseconds(20));
    first.wait();
    second.wait();
    CHECK(turns.Reach(1));
  }
  CHECK(turns.AllTookTime());
  client.Stop();
}

}  // namespace
}  // namespace basilspread::node
