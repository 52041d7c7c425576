#include "outbound_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <exception>
#include <random>
#include <string_view>
#include <utility>

#include "line_log.h"
#include "liveness.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "links";
constexpr std::size_t kMaxQueuedFrames = 4096;
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);
/// Time without TCP acknowledgement after which the connection is closed.
constexpr Duration kPeerTimeout = std::chrono::seconds(2);
const Poco::Timespan kConnectTimeout(1, 0);
const Poco::Timespan kSendTimeout(5, 0);

void SendAll(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const int count = socket.sendBytes(bytes.data() + sent,
                                       static_cast<int>(bytes.size() - sent));
    if (count <= 0) {
      throw Poco::IOException("the socket accepted no bytes");
    }
    sent += static_cast<std::size_t>(count);
  }
}

/// A random time between half and all of the delay, so that peers do not
/// reconnect simultaneously.
Duration Jitter(Duration delay) {
  thread_local std::minstd_rand generator(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2,
                                                     delay.count());
  return Duration(spread(generator));
}

}  // namespace

OutboundLink::OutboundLink(config::PeerEndpoint peer_endpoint, Hooks link_hooks)
    : peer(std::move(peer_endpoint)), hooks(std::move(link_hooks)) {
  this->thread = std::thread([this] { this->Run(); });
}

OutboundLink::~OutboundLink() {
  this->Finish();
  this->thread.join();
}

void OutboundLink::Finish() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
}

bool OutboundLink::Send(std::string frame) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->connected || this->frames.size() >= kMaxQueuedFrames) {
      return false;
    }
    this->frames.push_back(std::move(frame));
  }
  this->changed.notify_all();
  return true;
}

void OutboundLink::Reopen() {
  {
    const std::lock_guard lock(this->mutex);
    this->reopening = true;
    this->ShutDownSocket();
  }
  this->changed.notify_all();
}

void OutboundLink::Redirect(const config::Endpoint& endpoint) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->peer.endpoint == endpoint) {
      // The peer is needed now, so the next attempt is not delayed.
      this->retry_now = true;
      this->changed.notify_all();
      return;
    }
    this->peer.endpoint = endpoint;
  }
  this->Reopen();
}

void OutboundLink::Close() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->frames.clear();
    this->ShutDownSocket();
  }
  this->changed.notify_all();
}

bool OutboundLink::HasEnded() const {
  const std::lock_guard lock(this->mutex);
  return this->ended;
}

void OutboundLink::Run() {
  const NamedThread named("links out");
  Duration delay = kFirstRetryDelay;
  while (true) {
    bool was_connected = false;
    bool was_refused = false;
    try {
      this->Serve();
    } catch (const Poco::Net::ConnectionRefusedException&) {
      was_refused = true;
    } catch (const Poco::Exception&) {
      // The change hook reports the failure, and the loop retries.
    } catch (const std::exception& exception) {
      Log(LogLevel::kError, kPart,
          "Serving a link failed unexpectedly; reopening it.",
          {{"reason", exception.what()}});
    }
    {
      const std::lock_guard lock(this->mutex);
      was_connected = this->connected;
      this->open_socket.reset();
      if (this->stopping) {
        this->ended = true;
        return;
      }
    }
    delay =
        was_connected ? kFirstRetryDelay : std::min(delay * 2, kMaxRetryDelay);
    this->SetConnected(false);
    if (was_refused) {
      this->hooks.refusal();
    }
    this->WaitForRetry(Jitter(delay));
  }
}

void OutboundLink::Serve() {
  Poco::Net::StreamSocket socket = this->Open();
  this->SetConnected(true);
  while (const std::optional<std::string> frame = this->TakeFrame()) {
    // The peer sends nothing on this connection, so a readable socket has been
    // closed.
    if (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      throw Poco::IOException("the peer closed the connection");
    }
    SendAll(socket, *frame);
  }
}

Poco::Net::StreamSocket OutboundLink::Open() {
  config::Endpoint endpoint;
  {
    const std::lock_guard lock(this->mutex);
    endpoint = this->peer.endpoint;
    this->reopening = false;
  }
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
                 kConnectTimeout);
  socket.setNoDelay(true);
  EnableDeadPeerDetection(socket, kPeerTimeout);
  socket.setSendTimeout(kSendTimeout);
  const std::lock_guard lock(this->mutex);
  this->open_socket = socket;
  return socket;
}

std::optional<std::string> OutboundLink::TakeFrame() {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] {
    return this->stopping || this->reopening || !this->frames.empty();
  });
  if (this->reopening || this->frames.empty()) {
    return std::nullopt;
  }
  std::string frame = std::move(this->frames.front());
  this->frames.pop_front();
  return frame;
}

void OutboundLink::SetConnected(bool is_connected) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->connected == is_connected) {
      return;
    }
    this->connected = is_connected;
    this->frames.clear();
  }
  this->hooks.change(is_connected);
}

void OutboundLink::WaitForRetry(Duration delay) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, delay,
                         [this] { return this->stopping || this->retry_now; });
  this->retry_now = false;
}

void OutboundLink::ShutDownSocket() {
  if (!this->open_socket) {
    return;
  }
  try {
    this->open_socket->shutdown();
  } catch (const Poco::Exception&) {
    // The socket is already closed.
  }
}

}  // namespace basilspread::node
