#include "node.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "basilspread/config/tables.h"
#include "line_log.h"

namespace basilspread::node {
namespace {

constexpr Duration kLogTimeout = std::chrono::seconds(2);
constexpr Duration kHostListTimeout = std::chrono::seconds(2);
/// Callers have this long to take their answers once all is drained.
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr int kPlatformThreads = 16;

Hooks MakeHooks() {
  Hooks hooks = DefaultHooks();
  hooks.parse_tables = config::ParseTables;
  return hooks;
}

template <typename... Ts>
struct Overload : Ts... {
  using Ts::operator()...;
};

template <typename... Ts>
Overload(Ts...) -> Overload<Ts...>;

}  // namespace

Node::Node(config::NodeSettings node_settings)
    : settings(std::move(node_settings)),
      state(this->settings.core, MakeHooks()),
      loop(this->state,
           [this](Effect effect) { this->Interpret(std::move(effect)); }),
      log(this->settings.platform_log.host, this->settings.platform_log.port,
          kLogTimeout),
      host_list(this->settings.platform_hosts.host,
                this->settings.platform_hosts.port, kHostListTimeout),
      minions([] { return std::chrono::steady_clock::now(); }),
      front_end(this->settings,
                [this](EventBody body) { this->loop.Post(std::move(body)); }),
      admin(this->settings,
            [this](EventBody body) { this->loop.Post(std::move(body)); }),
      peers(
          this->settings,
          [this](EventBody body) { this->loop.Post(std::move(body)); },
          [this](EventBody body) {
            return this->loop.PostWhenRoom(std::move(body));
          }),
      platform_calls("platform", kPlatformThreads),
      minion_calls("minions", static_cast<int>(this->settings.minion_threads)) {
}

void Node::Run() {
  this->peers.Start();
  this->admin.Start();
  this->front_end.Start();
  Log(LogLevel::kInfo, "process",
      fmt::format(
          "Serving. node={} zone={} http={} admin={} peer={}",
          this->settings.core.self.node.value, this->settings.core.zone.value,
          this->settings.http.ToString(), this->settings.admin.ToString(),
          this->settings.peer.ToString()));
  this->loop.Run();
  this->front_end.Stop(kAnswerTimeout);
  this->admin.Stop();
  this->peers.Stop();
  this->platform_calls.Join();
  this->minion_calls.Join();
  Log(LogLevel::kInfo, "process", "Stopped.");
}

void Node::RequestStop() { this->loop.Post(StopRequested{}); }

void Node::Interpret(Effect effect) {
  const auto post = [this](EventBody body) {
    this->loop.Post(std::move(body));
  };
  std::visit(
      Overload{
          [this](const AnswerCaller& answer) {
            this->front_end.Answer(answer);
          },
          [this](const AnswerDump& answer) { this->admin.Answer(answer); },
          [this](const SendToPeer& send) { this->peers.Send(send); },
          [this](const ConnectPeer& connect) { this->peers.Connect(connect); },
          [this](const ReopenLink& link) { this->peers.Reopen(link); },
          [this](const DisconnectPeer& peer) { this->peers.Disconnect(peer); },
          [this, post](const SendToMinion& send) {
            const bool is_started = this->minion_calls.Run(
                [this, post, send] { post(this->minions.Send(send)); });
            if (!is_started) {
              post(MinionAnswered{send.request,
                                  send.attempt,
                                  send.host,
                                  MinionResult::kNotSent,
                                  nullptr,
                                  {}});
            }
          },
          [this, post](const AppendLog& append) {
            const bool is_started =
                this->platform_calls.Run([this, post, append] {
                  post(this->log.Append(append.stream, append.batch));
                });
            if (!is_started) {
              post(LogAppended{append.stream, append.batch.id,
                               AppendResult::kRefused});
            }
          },
          [this, post](const ReadLog& read) {
            const bool is_started =
                this->platform_calls.Run([this, post, read] {
                  post(this->log.Read(read.stream, read.from));
                });
            if (!is_started) {
              LogRead failed;
              failed.stream = read.stream;
              post(failed);
            }
          },
          [this, post](const ReadHosts&) {
            const bool is_started = this->platform_calls.Run(
                [this, post] { post(this->host_list.List()); });
            if (!is_started) {
              post(HostsListed{});
            }
          },
          [](const WriteLine& line) { Log(line.level, line.part, line.text); },
          [this](const RefuseCallers&) { this->front_end.Drain(); },
          [](const SetTimer&) {},
          [](const ExitProcess&) {},
      },
      effect);
}

}  // namespace basilspread::node
