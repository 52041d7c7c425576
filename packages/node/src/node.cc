#include "node.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "basilspread/config/tables.h"
#include "line_log.h"
#include "process_budget.h"
#include "process_usage.h"
#include "shutdown_hook.h"

namespace basilspread::node {
namespace {

constexpr Duration kLogTimeout = std::chrono::seconds(2);
constexpr Duration kHostListTimeout = std::chrono::seconds(2);
/// Time for sending pending answers after all requests are drained.
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr int kPlatformThreads = 16;

Hooks MakeHooks() {
  Hooks hooks = DefaultHooks();
  hooks.parse_tables = config::ParseTables;
  return hooks;
}

}  // namespace

Node::Node(config::NodeSettings node_settings)
    : settings(std::move(node_settings)),
      budget(MakeBudget(this->settings, this->metrics)),
      state(this->settings.core, MakeHooks()),
      loop(
          this->state,
          [this](const Effect& effect) { this->interpreter.Execute(effect); },
          [this](const Event& event, Duration waited, Duration took) {
            this->metrics.AddEvent(NameOf(event.body), waited, took);
          }),
      log(this->settings.platform_log.host, this->settings.platform_log.port,
          kLogTimeout, this->MakeOpenResponse()),
      host_list(this->settings.platform_hosts.host,
                this->settings.platform_hosts.port, kHostListTimeout,
                this->MakeOpenResponse()),
      minions([] { return std::chrono::steady_clock::now(); },
              this->MakeOpenResponse()),
      workers(
          this->settings.core.self.node.value,
          [] { return std::chrono::steady_clock::now(); },
          this->MakeOpenResponse()),
      front_end(this->settings, this->MakePost(), this->metrics, this->budget),
      admin(this->settings.admin,
            Admin::Hooks{this->MakePost(),
                         [this] { return this->DescribeNode(); },
                         [this] { return this->metrics.Describe(); },
                         [this] {
                           this->metrics.SetConnections(this->budget->Usage());
                           return this->metrics.Expose();
                         }},
            this->budget),
      peers(
          this->settings, this->MakePost(),
          [this](EventBody body) {
            return this->loop.PostBlocking(std::move(body));
          },
          this->budget),
      platform_calls("platform", kPlatformThreads),
      minion_calls("minions", static_cast<int>(this->settings.minion_threads)),
      worker_calls("workers", static_cast<int>(kMaxWorkerCalls)),
      interpreter(
          Services{this->log, this->host_list, this->minions, this->workers,
                   this->front_end, this->admin, this->peers,
                   this->platform_calls, this->minion_calls, this->worker_calls,
                   this->metrics},
          this->MakePost()) {}

void Node::Run() {
  this->peers.Start();
  this->admin.Start();
  this->front_end.Start();
  Log(LogLevel::kInfo, "process", "Serving.",
      {{"zone", this->settings.core.zone.value},
       {"http", this->settings.http.ToString()},
       {"admin", this->settings.admin.ToString()},
       {"peer", this->settings.peer.ToString()}});
  this->loop.Run();
  this->front_end.Stop(kAnswerTimeout);
  this->admin.Stop();
  this->peers.Stop();
  this->platform_calls.Join();
  this->minion_calls.Join();
  this->worker_calls.Join();
  Log(LogLevel::kInfo, "process", "Stopped.");
}

void Node::RequestStop() { this->loop.Post(StopRequested{}); }

std::function<void(EventBody)> Node::MakePost() {
  return [this](EventBody body) { this->loop.Post(std::move(body)); };
}

clients::OpenResponse Node::MakeOpenResponse() {
  return [this](int descriptor) {
    const auto account = std::make_shared<ConnectionAccount>(
        this->budget, ConnectionPort::kOutgoing, ShutdownOf(descriptor));
    account->Use(ConnectionUse::kReceiving, std::chrono::steady_clock::now());
    return [account](std::size_t bytes) {
      return account->Hold(bytes, std::chrono::steady_clock::now());
    };
  };
}

StateReport Node::DescribeNode() {
  const ProcessUsage usage = ReadProcessUsage();
  const std::chrono::duration<double> cpu_time = usage.cpu_time;
  ReportSection process{"usage", {}};
  process.rows.push_back(
      {{"resident_kib", fmt::format("{}", usage.resident_kibibytes)},
       {"cpu_seconds", fmt::format("{:.2f}", cpu_time.count())},
       {"threads", fmt::format("{}", usage.threads)},
       {"queued_events", fmt::format("{}", this->loop.QueuedEvents())}});
  ReportSection threads{"bounded parts", {}};
  const auto add = [&threads](const std::string& part, std::size_t used,
                              std::size_t limit) {
    threads.rows.push_back({{"part", part},
                            {"used", fmt::format("{}", used)},
                            {"limit", fmt::format("{}", limit)}});
  };
  add("caller connections", this->front_end.ConnectionCount(),
      this->settings.max_connections);
  add("minion threads", static_cast<std::size_t>(this->minion_calls.Busy()),
      static_cast<std::size_t>(this->minion_calls.Capacity()));
  add("worker threads", static_cast<std::size_t>(this->worker_calls.Busy()),
      static_cast<std::size_t>(this->worker_calls.Capacity()));
  add("platform threads", static_cast<std::size_t>(this->platform_calls.Busy()),
      static_cast<std::size_t>(this->platform_calls.Capacity()));
  return {process, threads};
}

}  // namespace basilspread::node
