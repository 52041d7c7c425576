#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

#include "standin.h"

namespace standin {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::size_t kChunkBytes = 16384;

/// One relayed connection; its pumps hold it.
struct Connection {
  StreamSocket caller;
  StreamSocket target;
  /// For good, whatever the link does later.
  bool silent = false;
};

/// Relays TCP connections to a port of the loopback and spoils them on
/// request.
class Link {
 public:
  Link(std::uint16_t port, std::uint16_t relay_target)
      : listener(SocketAddress("127.0.0.1", port)), target(relay_target) {
    std::thread([this] { this->Accept(); }).detach();
  }

  /// pass, cut, silence, silence-forth, silence-back, delay MS, or
  /// silence-open: what is open goes silent for good, new connections work.
  void Control(const std::string& words) {
    std::istringstream in(words);
    std::string word;
    int delay_ms = 0;
    in >> word >> delay_ms;
    const std::lock_guard lock(this->mutex);
    if (word == "silence-open") {
      this->ForEachOpen([](Connection& open) { open.silent = true; });
      return;
    }
    this->mode = word;
    this->delay = std::chrono::milliseconds(delay_ms);
    if (word == "cut") {
      this->ForEachOpen([](Connection& open) { Close(open); });
    }
  }

 private:
  template <typename Action>
  void ForEachOpen(const Action& action) {
    std::erase_if(this->open, [](const auto& held) { return held.expired(); });
    for (const auto& held : this->open) {
      if (const auto connection = held.lock()) {
        action(*connection);
      }
    }
  }

  static void Close(Connection& connection) {
    try {
      connection.caller.shutdown();
      connection.target.shutdown();
    } catch (const Poco::Exception&) {
      // It was closed already.
      return;
    }
  }

  void Accept() {
    while (true) {
      try {
        this->Serve(this->listener.acceptConnection());
      } catch (const Poco::Exception&) {
        // The target is down: the caller's connection closes.
        continue;
      }
    }
  }

  void Serve(const StreamSocket& caller) {
    const auto connection = std::make_shared<Connection>();
    connection->caller = caller;
    {
      const std::lock_guard lock(this->mutex);
      if (this->mode == "cut") {
        return;
      }
    }
    connection->target.connect(SocketAddress("127.0.0.1", this->target));
    {
      const std::lock_guard lock(this->mutex);
      this->open.push_back(connection);
    }
    std::thread([this, connection] {
      this->Pump(*connection, connection->caller, connection->target, "forth");
    }).detach();
    std::thread([this, connection] {
      this->Pump(*connection, connection->target, connection->caller, "back");
    }).detach();
  }

  void Pump(Connection& connection, StreamSocket& from, StreamSocket& to,
            const std::string& direction) {
    std::array<char, kChunkBytes> buffer{};
    try {
      while (true) {
        const int size = from.receiveBytes(buffer.data(), kChunkBytes);
        if (size <= 0) {
          break;
        }
        if (!this->IsSilent(connection, direction)) {
          this->WaitDelay();
          SendAll(to, buffer.data(), size);
        }
      }
    } catch (const Poco::Exception&) {
      // Either end broke; so does the other.
      Close(connection);
      return;
    }
    if (!this->IsSilent(connection, direction)) {
      Close(connection);
    }
  }

  static void SendAll(StreamSocket& to, const char* bytes, int size) {
    while (size > 0) {
      const int sent = to.sendBytes(bytes, size);
      bytes += sent;
      size -= sent;
    }
  }

  bool IsSilent(const Connection& connection, const std::string& direction) {
    const std::lock_guard lock(this->mutex);
    return connection.silent || this->mode == "silence" ||
           this->mode == "silence-" + direction;
  }

  void WaitDelay() {
    std::unique_lock lock(this->mutex);
    if (this->mode == "delay") {
      this->never.wait_for(lock, this->delay, [] { return false; });
    }
  }

  ServerSocket listener;
  const std::uint16_t target;
  std::mutex mutex;
  std::condition_variable never;
  std::string mode = "pass";
  std::chrono::milliseconds delay{};
  std::list<std::weak_ptr<Connection>> open;
};

}  // namespace

Handler MakeLink(std::uint16_t port, std::uint16_t target) {
  const auto link = std::make_shared<Link>(port, target);
  return [link](Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response) {
    link->Control(ReadBody(request));
    Reply(response, 200, "");
  };
}

}  // namespace standin
