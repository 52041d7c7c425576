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

class InboundFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit InboundFactory(const PeerLinks::PostReceived& received_hook)
      : post(received_hook) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new InboundConnection(socket, this->post);
  }

 private:
  const PeerLinks::PostReceived& post;
};

}  // namespace

PeerLinks::PeerLinks(const config::NodeSettings& node_settings, Post event_hook,
                     PostReceived received_hook)
    : settings(node_settings),
      post(std::move(event_hook)),
      post_received(std::move(received_hook)),
      pool("peer", 1, kMaxInboundConnections) {}

void PeerLinks::Start() {
  Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
  params->setMaxThreads(kMaxInboundConnections);
  this->server = std::make_unique<Poco::Net::TCPServer>(
      new InboundFactory(this->post_received), this->pool,
      Listen(this->settings.peer), params);
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
    this->post(PeerMessageNotSent{send.peer, send.message});
    return;
  }
  Result<std::string> frame =
      wire::EncodeFrame({this->settings.core.self, send.message});
  if (!frame) {
    Log(LogLevel::kWarning, kPart, "Message cannot be encoded; not sending it.",
        {{"peer", send.peer.value}, {"reason", frame.error().detail}});
    this->post(PeerMessageNotSent{send.peer, send.message});
    return;
  }
  if (!link->second->Send(std::move(frame).value())) {
    this->post(PeerMessageNotSent{send.peer, send.message});
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
