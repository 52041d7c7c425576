#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <mutex>
#include <string>
#include <thread>

#include "requests/scenarios.h"
#include "support/cluster.h"
#include "support/http.h"

namespace bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kClients = 8;
constexpr std::chrono::seconds kLength(5);

constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 2\n";
constexpr const char* kRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 5s\n"
    "idempotent = yes\n";

struct Load {
  std::mutex mutex;
  std::vector<double> milliseconds;
  int failures = 0;
};

/// One request after the other on one connection, until the time is up.
void RunClient(std::uint16_t port, const std::string& target, Load& load) {
  std::vector<double> own;
  int failures = 0;
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  session.setKeepAlive(true);
  const auto end = Clock::now() + kLength;
  while (Clock::now() < end) {
    const auto start = Clock::now();
    try {
      Poco::Net::HTTPRequest request("POST", target, "HTTP/1.1");
      request.setContentLength(4);
      session.sendRequest(request) << "room";
      Poco::Net::HTTPResponse response;
      std::string body;
      Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
      failures += response.getStatus() == 200 ? 0 : 1;
    } catch (const Poco::Exception&) {
      ++failures;
      session.reset();
    }
    own.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - start)
            .count());
  }
  const std::lock_guard lock(load.mutex);
  load.milliseconds.insert(load.milliseconds.end(), own.begin(), own.end());
  load.failures += failures;
}

void Measure(Figures& figures, const std::string& policy, std::uint16_t port,
             const std::string& target) {
  Load load;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] { RunClient(port, target, load); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const auto add = [&](const std::string& name, double value,
                       const std::string& unit) {
    figures.push_back({"entry-overhead", policy, name, value, unit});
  };
  add("requests a second",
      static_cast<double>(load.milliseconds.size()) /
          std::chrono::duration<double>(kLength).count(),
      "1/s");
  add("p50", Percentile(load.milliseconds, 0.5), "ms");
  add("p99", Percentile(load.milliseconds, 0.99), "ms");
  add("failures", load.failures, "");
}

}  // namespace

Figures MeasureEntryOverhead() {
  Figures figures;
  test::Cluster cluster;
  cluster.AddMinions(4, 8, 4);
  cluster.PublishHosts();
  cluster.AddEntries(1);
  cluster.StartEntry(0);
  cluster.PublishTables(kRoutes, kPools, 0);
  const bool is_ready = test::Eventually([&cluster] {
    return test::Call(cluster.entries[0].http, "POST", "/route/preview/plan",
                      "room")
               .status == 200;
  });
  if (!is_ready) {
    return {{"entry-overhead", "", "the cluster did not start", 0, ""}};
  }
  Measure(figures, "direct", cluster.minions[0].port, "/plan");
  Measure(figures, "through an entry", cluster.entries[0].http,
          "/route/preview/plan");
  return figures;
}

}  // namespace bench
