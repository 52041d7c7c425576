#ifndef BASILSPREAD_NODE_OUTBOUND_LINK_H_
#define BASILSPREAD_NODE_OUTBOUND_LINK_H_

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// Outbound connection to a peer. A thread per link opens it, writes to it and
/// reopens it. No method blocks except the destructor.
class OutboundLink {
 public:
  struct Hooks {
    /// Called when the connection opens or ends.
    std::function<void(bool connected)> change;
    /// Called when the peer's host refuses a connection.
    std::function<void()> refusal;
  };

  OutboundLink(config::PeerEndpoint peer_endpoint, Hooks link_hooks);
  /// Waits for the thread to end.
  ~OutboundLink();
  OutboundLink(const OutboundLink&) = delete;
  OutboundLink& operator=(const OutboundLink&) = delete;

  /// Queues an encoded frame. Returns false if the link is down or its queue is
  /// full.
  bool Send(std::string frame);
  /// Closes the connection and opens a new one.
  void Reopen();
  /// Reopens the connection to another address. If the address is unchanged and
  /// the link is down, retries at once.
  void Redirect(const config::Endpoint& endpoint);
  /// Ends the link once its queued frames are written.
  void Finish();
  /// Drops the queued frames, closes the connection and ends the link.
  void Close();
  bool HasEnded() const;

 private:
  void Run();
  /// Connects and writes frames until the link is stopped or reopened.
  void Serve();
  Poco::Net::StreamSocket Open();
  /// Waits for the next frame; unset if the connection is to end.
  std::optional<std::string> TakeFrame();
  void SetConnected(bool is_connected);
  /// Waits for the reconnection delay, or until the link is stopped or is to
  /// retry at once.
  void WaitForRetry(Duration delay);
  /// Interrupts a write in progress. The caller must hold the mutex.
  void ShutDownSocket();

  config::PeerEndpoint peer;
  Hooks hooks;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> frames;
  std::optional<Poco::Net::StreamSocket> open_socket;
  bool connected = false;
  bool reopening = false;
  bool retry_now = false;
  bool stopping = false;
  bool ended = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_OUTBOUND_LINK_H_
