#include "store_node.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "basilspread/core/hooks.h"
#include "line_log.h"

namespace basilspread::node {
namespace {

/// Callers have this long to take their answers once the process stops.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

/// Carries out the effects that no other part does.
struct OwnEffects {
  PeerLinks& peers;
  Admin& admin;

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
  void operator()(const WriteLine& effect) const {
    Log(effect.level, effect.part, effect.text);
  }
  void operator()(const AnswerDump& effect) const {
    this->admin.Answer(effect);
  }
  template <typename Other>
  void operator()(const Other& /*effect*/) const {}
};

}  // namespace

StoreNode::StoreNode(config::NodeSettings node_settings,
                     const OutsideFactory& factory)
    : settings(std::move(node_settings)),
      state(this->settings.core, DefaultHooks()),
      loop(
          this->state, [this](const Effect& effect) { this->Carry(effect); },
          [this](Duration time) { this->metrics.AddReduction(time); }),
      admin(this->settings.admin,
            Admin::Hooks{this->MakePost(), [] { return StateReport{}; },
                         [this] { return this->metrics.Describe(); }}),
      peers(this->settings, this->MakePost(),
            [this](EventBody body) {
              return this->loop.PostWhenRoom(std::move(body));
            }),
      outside(factory(this->settings, this->MakePost())) {}

void StoreNode::Run() {
  this->peers.Start();
  this->admin.Start();
  this->outside.start();
  Log(LogLevel::kInfo, "process",
      fmt::format(
          "Serving. node={} zone={} http={} admin={} peer={} store={}",
          this->settings.core.self.node.value, this->settings.core.zone.value,
          this->settings.http.ToString(), this->settings.admin.ToString(),
          this->settings.peer.ToString(), this->settings.store.ToString()));
  this->loop.Run();
  this->outside.stop(kAnswerTimeout);
  this->admin.Stop();
  this->peers.Stop();
  Log(LogLevel::kInfo, "process", "Stopped.");
}

void StoreNode::RequestStop() { this->loop.Post(StopRequested{}); }

OutsideHooks::Post StoreNode::MakePost() {
  return [this](EventBody body) { this->loop.Post(std::move(body)); };
}

void StoreNode::Carry(const Effect& effect) {
  if (!this->outside.carry(effect)) {
    std::visit(OwnEffects{this->peers, this->admin}, effect);
  }
}

}  // namespace basilspread::node
