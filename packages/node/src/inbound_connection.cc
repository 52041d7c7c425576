#include "inbound_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspread/wire/peer_codec.h"
#include "line_log.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "peer";
/// Peers send heartbeats far more often; a connection that is silent for this
/// long is dead.
constexpr Duration kSilenceTimeout = std::chrono::seconds(10);
/// Time for a whole frame, so that a sender that stops in the middle or sends
/// a byte at a time does not hold a thread for ever.
constexpr Duration kFrameTimeout = std::chrono::seconds(30);
/// Memory grows with what has come, and not with what the length claims.
constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024;

Poco::Timespan ToTimespan(Duration duration) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

InboundConnection::InboundConnection(const Poco::Net::StreamSocket& socket,
                                     const PostReceived& received_hook)
    : TCPServerConnection(socket), post(received_hook) {}

void InboundConnection::run() {
  const NamedThread named("links in");
  try {
    this->socket().setReceiveTimeout(ToTimespan(kSilenceTimeout));
    while (this->TakeFrame()) {
    }
  } catch (const Poco::Exception& exception) {
    Log(LogLevel::kDebug, kPart, "Connection broke.",
        {{"reason", exception.displayText()}});
  }
}

bool InboundConnection::TakeFrame() {
  const auto deadline = std::chrono::steady_clock::now() + kFrameTimeout;
  const auto prefix = this->Receive(wire::kLengthBytes, deadline);
  if (!prefix) {
    return false;
  }
  const Result<std::uint32_t> length = wire::DecodeLength(*prefix);
  if (!length) {
    this->RefuseFrame(length.error(), "");
    return false;
  }
  const auto bytes = this->Receive(length.value(), deadline);
  if (!bytes) {
    return false;
  }
  Result<wire::PeerFrame> frame = wire::DecodeFrame(*bytes);
  if (!frame) {
    this->RefuseFrame(frame.error(), *bytes);
    return false;
  }
  return this->post(
      PeerReceived{frame.value().sender, std::move(frame.value().message)});
}

std::optional<std::string> InboundConnection::Receive(std::size_t size,
                                                      TimePoint deadline) {
  std::string bytes;
  while (bytes.size() < size) {
    const std::size_t begin = bytes.size();
    bytes.resize(begin + std::min(size - begin, kMaxChunkBytes));
    const int count = this->socket().receiveBytes(
        bytes.data() + begin, static_cast<int>(bytes.size() - begin));
    if (count <= 0 || std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    }
    bytes.resize(begin + static_cast<std::size_t>(count));
  }
  return bytes;
}

void InboundConnection::RefuseFrame(const Error& error,
                                    const std::string& bytes) {
  Log(LogLevel::kWarning, kPart, "Closing a connection.",
      {{"from", this->socket().peerAddress().toString()},
       {"error", AnswerFor(error.kind).name},
       {"reason", error.detail}});
  if (const auto other = wire::FindVersionMismatch(bytes)) {
    this->post(PeerVersionMismatched{other->sender.node, other->version});
  }
}

}  // namespace basilspread::node
