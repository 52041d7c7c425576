#include "inbound_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspread/wire/peer_codec.h"
#include "line_log.h"
#include "shutdown_hook.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "peer";
/// A connection without input for this long is dead: peers send heartbeats much
/// more often.
constexpr Duration kSilenceTimeout = std::chrono::seconds(10);
/// Time to receive a complete frame, so that a sender that stalls or sends
/// single bytes does not occupy a thread forever.
constexpr Duration kFrameTimeout = std::chrono::seconds(30);
/// Reading in chunks lets memory grow with the received bytes instead of with
/// the length that a frame claims.
constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024;

Poco::Timespan ToTimespan(Duration duration) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

InboundConnection::InboundConnection(const Poco::Net::StreamSocket& socket,
                                     const PostReceived& received_hook,
                                     const ConnectionBudgetPtr& budget)
    : TCPServerConnection(socket),
      post(received_hook),
      account(budget, ConnectionPort::kPeers,
              ShutdownOf(socket.impl()->sockfd())) {}

void InboundConnection::run() {
  const NamedThread named("links in");
  try {
    this->socket().setReceiveTimeout(ToTimespan(kSilenceTimeout));
    while (this->TakeFrame()) {
    }
  } catch (const Poco::Exception& exception) {
    Log(LogLevel::kDebug, kPart, "Connection from a peer failed; closing it.",
        {{"reason", exception.displayText()}});
  }
}

bool InboundConnection::TakeFrame() {
  const TimePoint began = std::chrono::steady_clock::now();
  const TimePoint deadline = began + kFrameTimeout;
  this->account.Hold(0, began);
  this->account.Use(ConnectionUse::kReceiving, began);
  const auto prefix = this->Receive(wire::kLengthBytes, deadline);
  if (!prefix) {
    return false;
  }
  const Result<std::uint32_t> length = wire::DecodeLength(*prefix);
  if (!length) {
    this->RejectFrame(length.error(), "");
    return false;
  }
  const auto bytes = this->Receive(length.value(), deadline);
  if (!bytes) {
    return false;
  }
  if (!this->account.Use(ConnectionUse::kProcessing,
                         std::chrono::steady_clock::now())) {
    return false;
  }
  Result<wire::PeerFrame> frame = wire::DecodeFrame(*bytes);
  if (!frame) {
    this->RejectFrame(frame.error(), *bytes);
    return false;
  }
  return this->post(PeerReceived{frame.value().sender,
                                 std::move(frame.value().message),
                                 frame.value().receiver_incarnation});
}

std::optional<std::string> InboundConnection::Receive(std::size_t size,
                                                      TimePoint deadline) {
  std::string bytes;
  while (bytes.size() < size) {
    const std::size_t begin = bytes.size();
    bytes.resize(begin + std::min(size - begin, kMaxChunkBytes));
    const int count = this->socket().receiveBytes(
        bytes.data() + begin, static_cast<int>(bytes.size() - begin));
    const TimePoint now = std::chrono::steady_clock::now();
    if (count <= 0 || now >= deadline ||
        !this->account.Hold(bytes.capacity(), now)) {
      return std::nullopt;
    }
    bytes.resize(begin + static_cast<std::size_t>(count));
  }
  return bytes;
}

void InboundConnection::RejectFrame(const Error& error,
                                    const std::string& bytes) {
  Log(LogLevel::kWarning, kPart,
      "Invalid frame from a peer; closing its connection.",
      {{"from", this->socket().peerAddress().toString()},
       {"error", AnswerFor(error.kind).name},
       {"reason", error.detail}});
  if (const auto other = wire::FindVersionMismatch(bytes)) {
    this->post(PeerVersionMismatched{other->sender.node, other->version});
  }
}

}  // namespace basilspread::node
