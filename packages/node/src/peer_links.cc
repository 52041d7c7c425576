#include "peer_links.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <fmt/format.h>

#include <string>
#include <utility>

#include "basilspread/wire/peer_codec.h"
#include "line_log.h"
#include "listener.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "peer";
constexpr int kMaxInboundConnections = 128;

/// False when the connection ended before `size` bytes came.
bool ReceiveAll(Poco::Net::StreamSocket& socket, char* data, std::size_t size) {
  std::size_t received = 0;
  while (received < size) {
    const int count =
        socket.receiveBytes(data + received, static_cast<int>(size - received));
    if (count <= 0) {
      return false;
    }
    received += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads the frames of one inbound connection until it ends or is malformed.
class InboundConnection : public Poco::Net::TCPServerConnection {
 public:
  InboundConnection(const Poco::Net::StreamSocket& socket,
                    const PeerLinks::Post& event_hook)
      : TCPServerConnection(socket), post(event_hook) {}

  void run() override {
    try {
      while (this->TakeFrame()) {
      }
    } catch (const Poco::Exception& exception) {
      Log(LogLevel::kDebug, kPart,
          fmt::format("Connection broke. reason=\"{}\"",
                      exception.displayText()));
    }
  }

 private:
  bool TakeFrame() {
    std::string prefix(wire::kLengthBytes, '\0');
    if (!ReceiveAll(this->socket(), prefix.data(), prefix.size())) {
      return false;
    }
    const Result<std::uint32_t> length = wire::DecodeLength(prefix);
    if (!length) {
      return this->Refuse(length.error());
    }
    std::string bytes(length.value(), '\0');
    if (!ReceiveAll(this->socket(), bytes.data(), bytes.size())) {
      return false;
    }
    Result<wire::PeerFrame> frame = wire::DecodeFrame(bytes);
    if (!frame) {
      return this->Refuse(frame.error());
    }
    this->post(
        PeerReceived{frame.value().sender, std::move(frame.value().message)});
    return true;
  }

  bool Refuse(const Error& error) {
    Log(LogLevel::kWarning, kPart,
        fmt::format("Closing a connection. error={} reason=\"{}\"",
                    AnswerFor(error.kind).name, error.detail));
    return false;
  }

  const PeerLinks::Post& post;
};

class InboundFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit InboundFactory(const PeerLinks::Post& event_hook)
      : post(event_hook) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new InboundConnection(socket, this->post);
  }

 private:
  const PeerLinks::Post& post;
};

}  // namespace

PeerLinks::PeerLinks(const config::NodeSettings& node_settings, Post event_hook)
    : settings(node_settings),
      post(std::move(event_hook)),
      pool("peer", 1, kMaxInboundConnections) {}

void PeerLinks::Start() {
  Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
  params->setMaxThreads(kMaxInboundConnections);
  this->server = std::make_unique<Poco::Net::TCPServer>(
      new InboundFactory(this->post), this->pool, Listen(this->settings.peer),
      params);
  this->server->start();
  for (const config::PeerEndpoint& peer : this->settings.peers) {
    this->links.emplace(peer.node,
                        std::make_unique<OutboundLink>(
                            peer, [this, node = peer.node](bool connected) {
                              this->post(PeerLinkChanged{node, connected});
                            }));
  }
}

void PeerLinks::Stop() {
  this->links.clear();
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
    Log(LogLevel::kWarning, kPart,
        fmt::format("Message was not sent. peer={} reason=\"{}\"",
                    send.peer.value, frame.error().detail));
    this->post(PeerMessageNotSent{send.peer, send.message});
    return;
  }
  if (!link->second->Send(std::move(frame).value())) {
    this->post(PeerMessageNotSent{send.peer, send.message});
  }
}

}  // namespace basilspread::node
