// Processor time of the client loop's thread for a call, by the number of
// servers. Each server holds one call without an answer and takes its turn in
// a stream of short ones.

#include <fmt/format.h>
#include <time.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cxxopts.hpp>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "http_client_loop.h"
#include "servers.h"

namespace basilspread::bench {
namespace {

/// No call of the bench is to be given up.
constexpr Duration kTimeout = std::chrono::minutes(10);
constexpr Duration kSlowAfter = std::chrono::milliseconds(100);
/// Some bytes more than the start of a run with its ticket.
constexpr std::size_t kBodyBytes = 400;
constexpr std::size_t kWarmUpRounds = 2;

Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

/// Makes calls, a bounded number of them at a time.
class Caller {
 public:
  explicit Caller(std::vector<std::string> server_addresses)
      : addresses(std::move(server_addresses)) {
    this->client.Start();
  }

  void SendHeld() {
    for (const std::string& address : this->addresses) {
      node::HttpCall call = MakeCall(address, "wait", "/held");
      call.done = [](const node::HttpReply& /*reply*/) {};
      this->client.Send(std::move(call));
    }
  }

  /// Makes short calls, each server in turn. Returns the processor time that
  /// the loop's thread took for one.
  Duration MakeCalls(std::size_t count, std::size_t at_once) {
    const Duration before = this->LoopTime();
    for (std::size_t i = 0; i < count; ++i) {
      this->WaitUntilUnder(at_once);
      this->SendShort(this->addresses[i % this->addresses.size()]);
    }
    this->WaitUntilUnder(1);
    return (this->LoopTime() - before) / static_cast<Duration::rep>(count);
  }

  std::size_t Failures() const { return this->failures; }
  void Stop() { this->client.Stop(); }

 private:
  static node::HttpCall MakeCall(const std::string& address, std::string lane,
                                 std::string target) {
    node::HttpCall call;
    call.address = address;
    call.lane = std::move(lane);
    call.method = "POST";
    call.target = std::move(target);
    call.headers = {Header{"Content-Type", "application/json"},
                    Header{"Expect-Worker", "worker-123"}};
    call.body = std::string(kBodyBytes, 'x');
    call.deadline = std::chrono::steady_clock::now() + kTimeout;
    call.slow_after = kSlowAfter;
    return call;
  }

  void SendShort(const std::string& address) {
    node::HttpCall call = MakeCall(address, "order", "/answered");
    call.done = [this](const node::HttpReply& reply) {
      const std::lock_guard lock(this->mutex);
      --this->open;
      this->failures += reply.outcome == node::HttpOutcome::kAnswered ? 0 : 1;
      this->loop_time = ThreadTime();
      this->has_ended.notify_one();
    };
    {
      const std::lock_guard lock(this->mutex);
      ++this->open;
    }
    this->client.Send(std::move(call));
  }

  void WaitUntilUnder(std::size_t bound) {
    std::unique_lock lock(this->mutex);
    this->has_ended.wait(lock, [this, bound] { return this->open < bound; });
  }

  /// As of the last reply.
  Duration LoopTime() {
    const std::lock_guard lock(this->mutex);
    return this->loop_time;
  }

  const std::vector<std::string> addresses;
  node::HttpClientLoop client;
  std::mutex mutex;
  std::condition_variable has_ended;
  std::size_t open = 0;
  std::size_t failures = 0;
  Duration loop_time{};
};

void Measure(const std::string& label, std::size_t server_count,
             std::size_t calls, const std::vector<std::size_t>& windows) {
  const Servers servers(server_count);
  Caller caller(servers.Addresses());
  caller.SendHeld();
  for (const std::size_t at_once : windows) {
    caller.MakeCalls(server_count * kWarmUpRounds, at_once);
    const Duration time = caller.MakeCalls(calls, at_once);
    fmt::print("| {} | {} | {} | {:.1f} | {} | {} |\n", label, server_count,
               at_once, std::chrono::duration<double, std::micro>(time).count(),
               servers.HeldRequests(), caller.Failures());
  }
  caller.Stop();
}

}  // namespace
}  // namespace basilspread::bench

int main(int argc, char** argv) {
  cxxopts::Options options("calls_bench",
                           "Processor time of the HTTP client loop for a call");
  options.add_options()("label", "first column of the rows",
                        cxxopts::value<std::string>()->default_value("this"))(
      "servers", "numbers of servers",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "50,100,200,350,700"))(
      "calls", "short calls in each row",
      cxxopts::value<std::size_t>()->default_value("20000"))(
      "at-once", "short calls under way at a time",
      cxxopts::value<std::vector<std::size_t>>()->default_value("1,16"))(
      "no-head", "print the rows only");
  const auto given = options.parse(argc, argv);
  if (given.count("no-head") == 0) {
    fmt::print(
        "| Source | Servers | Short calls at once | Processor time a call, us "
        "| Held calls | Failures |\n| --- | --- | --- | --- | --- | --- |\n");
  }
  for (const std::size_t count :
       given["servers"].as<std::vector<std::size_t>>()) {
    basilspread::bench::Measure(
        given["label"].as<std::string>(), count,
        given["calls"].as<std::size_t>(),
        given["at-once"].as<std::vector<std::size_t>>());
  }
  return 0;
}
