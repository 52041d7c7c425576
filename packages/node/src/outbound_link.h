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

/// A connection to one peer that its own thread opens, writes and reopens.
/// All but the destructor returns at once.
class OutboundLink {
 public:
  struct Hooks {
    /// Told when the connection opens or breaks.
    std::function<void(bool connected)> change;
    /// Told when the peer's host refuses a connection.
    std::function<void()> refusal;
  };

  OutboundLink(config::PeerEndpoint peer_endpoint, Hooks link_hooks);
  /// Waits for the thread to end.
  ~OutboundLink();
  OutboundLink(const OutboundLink&) = delete;
  OutboundLink& operator=(const OutboundLink&) = delete;

  /// Queues an encoded frame; false when the link is down or its queue full.
  bool Send(std::string frame);
  /// Gives the connection up and opens another.
  void Reopen();
  /// Reopens the connection to another address; tries at once if it is the
  /// same and the connection is broken.
  void Redirect(const config::Endpoint& endpoint);
  /// Has the link end once its queue is written.
  void Finish();
  /// Gives the connection up for good.
  void Close();
  bool HasEnded() const;

 private:
  void Run();
  /// Connects and writes until the link is to stop or to be reopened.
  void Serve();
  Poco::Net::StreamSocket Open();
  /// The next frame; unset when the connection is to end.
  std::optional<std::string> TakeFrame();
  void SetConnected(bool is_connected);
  /// Waits out the reconnection delay; ends early on a stop.
  void Wait(Duration delay);
  /// Ends a write that is under way. The caller holds the mutex.
  void ShutDownSocket();

  config::PeerEndpoint peer;
  Hooks hooks;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> frames;
  std::optional<Poco::Net::StreamSocket> open_socket;
  bool connected = false;
  bool reopening = false;
  bool wanted = false;
  bool stopping = false;
  bool ended = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_OUTBOUND_LINK_H_
