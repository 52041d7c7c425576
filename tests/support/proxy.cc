#include "support/proxy.h"

#include <Poco/Exception.h>

#include <algorithm>

#include "basilspread/config/node_settings.h"
#include "listener.h"
#include "send_some.h"

namespace test {
namespace {

using Poco::Net::PollSet;
using Poco::Net::Socket;
using Poco::Net::StreamSocket;

constexpr std::size_t kReceiveBytes = std::size_t{64} << 10U;
/// Chunks that a stream holds before it stops reading.
constexpr std::size_t kMostChunks = 64;
constexpr std::chrono::milliseconds kLongestWait(200);

auto Now() { return std::chrono::steady_clock::now(); }

}  // namespace

Proxy::~Proxy() { this->Stop(); }

void Proxy::Listen(const std::string& address, const std::string& target) {
  constexpr int kBacklog = 512;
  Link& link = this->links[address];
  link.target = target;
  link.listener = basilspread::node::Listen(
      basilspread::config::ParseEndpoint(address).value(), kBacklog);
  link.listener.setBlocking(false);
  this->listeners[link.listener] = &link;
  this->poll_set.add(link.listener, PollSet::POLL_READ);
}

void Proxy::Start() {
  this->wake_socket.Open();
  this->poll_set.add(this->wake_socket.Get(), PollSet::POLL_READ);
  this->thread = std::thread([this] { this->Run(); });
}

void Proxy::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake_socket.Wake();
  this->thread.join();
}

void Proxy::Change(const std::string& address, const LinkChange& change,
                   const std::string& source) {
  {
    const std::lock_guard lock(this->mutex);
    this->changes.push_back({address, source, change});
  }
  this->wake_socket.Wake();
}

void Proxy::Run() {
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->is_stopping) {
        return;
      }
    }
    for (const auto& [socket, mode] :
         this->poll_set.poll(this->UntilNextDue())) {
      if (socket == this->wake_socket.Get()) {
        this->wake_socket.Clear();
      } else if (const auto listener = this->listeners.find(socket);
                 listener != this->listeners.end()) {
        this->Accept(*listener->second);
      } else if (const auto pipe = this->by_socket.find(socket);
                 pipe != this->by_socket.end()) {
        this->OnReady(pipe->second, socket, mode);
      }
    }
    this->TakeChanges();
    this->PassDue();
  }
}

void Proxy::PassDue() {
  const TimePoint now = Now();
  for (auto pipe = this->pipes.begin(); pipe != this->pipes.end();) {
    const PipePtr current = pipe++;
    const auto& streams = current->streams;
    const bool has_due = std::any_of(
        streams.begin(), streams.end(), [now](const Stream& stream) {
          return !stream.chunks.empty() && stream.chunks.front().due <= now;
        });
    if (has_due && !this->Pass(*current)) {
      this->Close(current, false);
    }
  }
}

void Proxy::TakeChanges() {
  std::vector<Order> taken;
  {
    const std::lock_guard lock(this->mutex);
    taken.swap(this->changes);
  }
  for (const auto& [address, source, change] : taken) {
    Link& link = this->links.at(address);
    (source.empty() ? link.state : link.of_sources[source]) = change;
    for (auto pipe = this->pipes.begin(); pipe != this->pipes.end();) {
      const PipePtr current = pipe++;
      const bool is_concerned = current->link == &link &&
                                (source.empty() || source == current->source);
      if (!is_concerned) {
        continue;
      }
      current->is_silent |= change.silences;
      if (change.resets || !this->Pass(*current)) {
        this->Close(current, change.resets);
      }
    }
  }
}

void Proxy::Accept(Link& link) {
  try {
    StreamSocket caller = link.listener.acceptConnection();
    const std::string source = caller.peerAddress().host().toString();
    if (StateOf(link, source).refuses) {
      return;
    }
    StreamSocket server;
    server.connectNB(Poco::Net::SocketAddress(link.target));
    caller.setBlocking(false);
    caller.setNoDelay(true);
    const PipePtr pipe = this->pipes.emplace(this->pipes.end());
    pipe->link = &link;
    pipe->source = source;
    pipe->streams = {Stream{caller, server, {}, false, 0},
                     Stream{server, caller, {}, false, 0}};
    this->by_socket[caller] = pipe;
    this->by_socket[server] = pipe;
    this->Watch(*pipe);
  } catch (const Poco::Exception&) {
    // The caller was gone, or the target refuses: the connection ends.
    return;
  }
}

LinkChange Proxy::StateOf(const Link& link, const std::string& source) {
  LinkChange state = link.state;
  const auto found = link.of_sources.find(source);
  if (found != link.of_sources.end()) {
    state.holds_requests |= found->second.holds_requests;
    state.holds_answers |= found->second.holds_answers;
    state.refuses |= found->second.refuses;
    state.delay += found->second.delay;
  }
  return state;
}

bool Proxy::IsHeld(const Pipe& pipe, std::size_t side) {
  const LinkChange state = StateOf(*pipe.link, pipe.source);
  return pipe.is_silent ||
         (side == 0 ? state.holds_requests : state.holds_answers);
}

void Proxy::OnReady(PipePtr pipe, const Socket& socket, int mode) {
  try {
    if ((mode & PollSet::POLL_ERROR) != 0) {
      this->Close(pipe, true);
      return;
    }
    for (Stream& stream : pipe->streams) {
      if ((mode & PollSet::POLL_READ) == 0 || stream.from != socket ||
          stream.has_ended || stream.chunks.size() >= kMostChunks) {
        continue;
      }
      std::string bytes(kReceiveBytes, '\0');
      const int count = stream.from.receiveBytes(
          bytes.data(), static_cast<int>(bytes.size()));
      stream.has_ended = count == 0;
      if (count > 0) {
        bytes.resize(static_cast<std::size_t>(count));
        stream.chunks.push_back(
            {Now() + StateOf(*pipe->link, pipe->source).delay, std::move(bytes),
             0});
      }
    }
  } catch (const Poco::Exception&) {
    this->Close(pipe, true);
    return;
  }
  if (!this->Pass(*pipe)) {
    this->Close(pipe, false);
  }
}

bool Proxy::Pass(Pipe& pipe) {
  const TimePoint now = Now();
  if (pipe.is_silent && pipe.streams[0].has_ended &&
      pipe.streams[1].has_ended) {
    return false;
  }
  try {
    for (std::size_t side = 0; side < pipe.streams.size(); ++side) {
      Stream& stream = pipe.streams.at(side);
      if (IsHeld(pipe, side)) {
        continue;
      }
      while (!stream.chunks.empty() && stream.chunks.front().due <= now) {
        Chunk& chunk = stream.chunks.front();
        const std::size_t count =
            basilspread::node::SendSome(stream.to, chunk.bytes, chunk.written);
        if (count == 0) {
          break;
        }
        chunk.written += count;
        if (chunk.written == chunk.bytes.size()) {
          stream.chunks.pop_front();
        }
      }
      // The end of one side ends the connection, once its bytes are through.
      if (stream.has_ended && stream.chunks.empty()) {
        return false;
      }
    }
  } catch (const Poco::Exception&) {
    return false;
  }
  this->Watch(pipe);
  return true;
}

void Proxy::Watch(Pipe& pipe) {
  const TimePoint now = Now();
  for (std::size_t side = 0; side < pipe.streams.size(); ++side) {
    const Stream& out = pipe.streams.at(1 - side);
    Stream& in = pipe.streams.at(side);
    const bool wants_write = !out.chunks.empty() && !IsHeld(pipe, 1 - side) &&
                             out.chunks.front().due <= now;
    const bool wants_read = !in.has_ended && in.chunks.size() < kMostChunks;
    int mode = PollSet::POLL_ERROR;
    mode |= wants_read ? PollSet::POLL_READ : 0;
    mode |= wants_write ? PollSet::POLL_WRITE : 0;
    if (in.poll_mode == 0) {
      this->poll_set.add(in.from, mode);
    } else if (in.poll_mode != mode) {
      this->poll_set.update(in.from, mode);
    }
    in.poll_mode = mode;
  }
}

void Proxy::Close(PipePtr pipe, bool resets) {
  for (Stream& stream : pipe->streams) {
    this->poll_set.remove(stream.from);
    this->by_socket.erase(stream.from);
  }
  for (Stream& stream : pipe->streams) {
    try {
      if (resets) {
        stream.from.setLinger(true, 0);
      }
    } catch (const Poco::Exception&) {
      // The connection has been reset already.
      resets = false;
    }
    stream.from.close();
  }
  this->pipes.erase(pipe);
}

Poco::Timespan Proxy::UntilNextDue() const {
  const TimePoint now = Now();
  TimePoint until = now + kLongestWait;
  for (const Pipe& pipe : this->pipes) {
    for (const Stream& stream : pipe.streams) {
      if (!stream.chunks.empty() && stream.chunks.front().due > now) {
        until = std::min(until, stream.chunks.front().due);
      }
    }
  }
  // Rounded up, so that the thread does not wake just before.
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(until - now);
  return Poco::Timespan(std::chrono::microseconds(wait).count());
}

}  // namespace test
