#ifndef BASILSPREAD_NODE_OUTBOUND_LINK_H_
#define BASILSPREAD_NODE_OUTBOUND_LINK_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// A connection to one peer that its own thread opens, writes and reopens.
class OutboundLink {
 public:
  /// Told when the connection opens or breaks.
  using OnChange = std::function<void(bool connected)>;

  OutboundLink(config::PeerEndpoint peer_endpoint, OnChange change_hook);
  ~OutboundLink();
  OutboundLink(const OutboundLink&) = delete;
  OutboundLink& operator=(const OutboundLink&) = delete;

  /// Queues an encoded frame; false when the link is down or its queue full.
  bool Send(std::string frame);

 private:
  void Run();
  /// Connects and writes until the link breaks or stops.
  void Serve();
  /// The next frame; empty when the link is to stop.
  std::string TakeFrame();
  void SetConnected(bool is_connected);
  /// Waits out the reconnection delay; ends early on a stop.
  void Wait(Duration delay);

  config::PeerEndpoint peer;
  OnChange on_change;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> frames;
  bool connected = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_OUTBOUND_LINK_H_
