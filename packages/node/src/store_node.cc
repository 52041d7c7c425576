#include "store_node.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "basilspread/core/hooks.h"
#include "line_log.h"
#include "process_budget.h"

namespace basilspread::node {
namespace {

/// Time for sending pending answers when the process stops.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

/// Executes the effects that the adapter does not handle.
struct ProcessEffects {
  PeerLinks& peers;
  Admin& admin;
  Metrics& metrics;

  void operator()(const SendToPeer& effect) const { this->peers.Send(effect); }
  void operator()(const ConnectPeer& effect) const {
    this->peers.Connect(effect);
  }
  void operator()(const ReopenLink& effect) const {
    this->peers.Reopen(effect);
  }
  void operator()(const DisconnectPeer& effect) const {
    this->peers.Disconnect(effect);
  }
  void operator()(const WriteLogLine& effect) const { Log(effect.line); }
  void operator()(const CountMetric& effect) const {
    this->metrics.Count(effect.metric, effect.label, effect.amount);
  }
  void operator()(const ObserveTime& effect) const {
    this->metrics.Observe(effect.metric, effect.label, effect.time);
  }
  void operator()(const SetGauge& effect) const {
    this->metrics.Set(effect.metric, effect.label, effect.value);
  }
  void operator()(const AnswerDump& effect) const {
    this->admin.Answer(effect);
  }
  template <typename Other>
  void operator()(const Other& /*effect*/) const {}
};

}  // namespace

StoreNode::StoreNode(config::NodeSettings node_settings,
                     const AdapterFactory& factory)
    : settings(std::move(node_settings)),
      budget(MakeBudget(this->settings, this->metrics)),
      state(this->settings.core, DefaultHooks()),
      loop(
          this->state, [this](const Effect& effect) { this->Execute(effect); },
          [this](const Event& event, Duration waited, Duration took) {
            this->metrics.AddEvent(NameOf(event.body), waited, took);
          }),
      admin(this->settings.admin,
            Admin::Hooks{this->MakePost(), [] { return StateReport{}; },
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
      adapter(factory(
          this->settings,
          ProcessHooks{
              this->MakePost(),
              [this](std::string_view service, bool is_ok, Duration time) {
                this->metrics.AddExchange(service, is_ok, time);
              },
              [this](const ClientTurn& turn) {
                this->metrics.AddExchangeTurn(turn.open_calls, turn.took);
              },
              this->budget})) {}

void StoreNode::Run() {
  this->peers.Start();
  this->admin.Start();
  this->adapter.start();
  Log(LogLevel::kInfo, "process", "Serving.",
      {{"zone", this->settings.core.zone.value},
       {"http", this->settings.http.ToString()},
       {"admin", this->settings.admin.ToString()},
       {"peer", this->settings.peer.ToString()},
       {"store", this->settings.store.ToString()}});
  this->loop.Run();
  this->adapter.stop(kAnswerTimeout);
  this->admin.Stop();
  this->peers.Stop();
  Log(LogLevel::kInfo, "process", "Stopped.");
}

void StoreNode::RequestStop() { this->loop.Post(StopRequested{}); }

ProcessHooks::Post StoreNode::MakePost() {
  return [this](EventBody body) { this->loop.Post(std::move(body)); };
}

void StoreNode::Execute(const Effect& effect) {
  if (!this->adapter.execute(effect)) {
    std::visit(ProcessEffects{this->peers, this->admin, this->metrics}, effect);
  }
}

}  // namespace basilspread::node
