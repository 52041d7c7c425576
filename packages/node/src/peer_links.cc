#include "peer_links.h"

#include <Poco/Net/TCPServerConnectionFactory.h>
#include <fmt/format.h>

#include <string>
#include <utility>

#include "basilspread/wire/peer_codec.h"
#include "inbound_connection.h"
#include "line_log.h"
#include "listener.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "peer";
constexpr int kMaxInboundConnections = 128;
/// Peers complete frames more often, as they send heartbeats.
constexpr Duration kFrameStallTime = std::chrono::seconds(3);
/// Connections that wait for a thread; they are in no account yet.
constexpr int kMaxQueuedConnections = 32;

class InboundFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  InboundFactory(const PeerLinks::PostReceived& received_hook,
                 ConnectionBudgetPtr connection_budget)
      : post(received_hook), budget(std::move(connection_budget)) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new InboundConnection(socket, this->post, this->budget);
  }

 private:
  const PeerLinks::PostReceived& post;
  const ConnectionBudgetPtr budget;
};

/// Closes connections without a complete frame where a new one finds all
/// threads busy, so that callers which send slowly or nothing do not keep other
/// processes out.
class InboundFilter : public Poco::Net::TCPServerConnectionFilter {
 public:
  /// `threads_hook` returns the number of busy threads.
  InboundFilter(std::function<int()> threads_hook,
                ConnectionBudgetPtr connection_budget)
      : busy_threads(std::move(threads_hook)),
        budget(std::move(connection_budget)) {}

  bool accept(const Poco::Net::StreamSocket& socket) override {
    const TimePoint now = std::chrono::steady_clock::now();
    if (this->busy_threads() >= kMaxInboundConnections) {
      this->budget->CloseStalled(ConnectionPort::kPeers, kFrameStallTime, now);
    }
    return this->budget->Admit(
        static_cast<std::size_t>(socket.impl()->sockfd()), now);
  }

 private:
  const std::function<int()> busy_threads;
  const ConnectionBudgetPtr budget;
};

}  // namespace

PeerLinks::PeerLinks(const config::NodeSettings& node_settings, Post event_hook,
                     PostReceived received_hook,
                     ConnectionBudgetPtr connection_budget)
    : settings(node_settings),
      post(std::move(event_hook)),
      post_received(std::move(received_hook)),
      budget(std::move(connection_budget)),
      pool("peer", 1, kMaxInboundConnections) {}

void PeerLinks::Start() {
  Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
  params->setMaxThreads(kMaxInboundConnections);
  params->setMaxQueued(kMaxQueuedConnections);
  this->server = std::make_unique<Poco::Net::TCPServer>(
      new InboundFactory(this->post_received, this->budget), this->pool,
      Listen(this->settings.peer), params);
  this->server->setConnectionFilter(new InboundFilter(
      [this] { return this->server->currentThreads(); }, this->budget));
  this->server->start();
  for (const config::PeerEndpoint& peer : this->settings.peers) {
    this->Open(peer);
  }
}

void PeerLinks::Stop() {
  // All links finish in parallel, since each may wait for an unresponsive host.
  for (const auto& [node, link] : this->links) {
    link->Finish();
  }
  this->links.clear();
  this->closed.clear();
  this->server->stop();
}

void PeerLinks::Send(const SendToPeer& send) {
  const auto link = this->links.find(send.peer);
  if (link == this->links.end()) {
    this->post(PeerMessageNotSent{send.peer, send.message, send.incarnation});
    return;
  }
  Result<std::string> frame = wire::EncodeFrame(
      {this->settings.core.self, send.message, send.incarnation});
  if (!frame) {
    Log(LogLevel::kWarning, kPart, "Message cannot be encoded; not sending it.",
        {{"peer", send.peer.value}, {"reason", frame.error().detail}});
    this->post(PeerMessageNotSent{send.peer, send.message, send.incarnation});
    return;
  }
  if (!link->second->Send(std::move(frame).value())) {
    this->post(PeerMessageNotSent{send.peer, send.message, send.incarnation});
  }
}

void PeerLinks::Connect(const ConnectPeer& connect) {
  const Result<config::Endpoint> endpoint =
      config::ParseEndpoint(connect.address);
  if (!endpoint) {
    Log(LogLevel::kWarning, kPart, "Peer address is invalid; not connecting.",
        {{"peer", connect.peer.value}, {"reason", endpoint.error().detail}});
    return;
  }
  const auto link = this->links.find(connect.peer);
  if (link != this->links.end()) {
    link->second->Redirect(endpoint.value());
    return;
  }
  this->Open(config::PeerEndpoint{connect.peer, endpoint.value()});
}

void PeerLinks::Reopen(const ReopenLink& link) {
  const auto found = this->links.find(link.peer);
  if (found != this->links.end()) {
    found->second->Reopen();
  }
}

void PeerLinks::Disconnect(const DisconnectPeer& peer) {
  const auto found = this->links.find(peer.peer);
  if (found == this->links.end()) {
    return;
  }
  found->second->Close();
  this->closed.push_back(std::move(found->second));
  this->links.erase(found);
  std::erase_if(this->closed,
                [](const auto& link) { return link->HasEnded(); });
}

void PeerLinks::Open(const config::PeerEndpoint& peer) {
  OutboundLink::Hooks hooks;
  hooks.change = [this, node = peer.node](bool connected) {
    this->post(PeerLinkChanged{node, connected});
  };
  hooks.refusal = [this, node = peer.node] { this->post(PeerRefused{node}); };
  this->links.emplace(peer.node,
                      std::make_unique<OutboundLink>(peer, std::move(hooks)));
}

}  // namespace basilspread::node
