#ifndef BASILSPREAD_NODE_PEER_LINKS_H_
#define BASILSPREAD_NODE_PEER_LINKS_H_

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "outbound_link.h"

namespace basilspread::node {

/// The connections to the other entry processes: one outbound connection to
/// each peer carries what this process sends, inbound ones what it receives.
/// All but the constructor is called on the control thread and never waits.
class PeerLinks {
 public:
  using Post = std::function<void(EventBody)>;
  /// Waits for room; false once the process ends.
  using PostReceived = std::function<bool(EventBody)>;

  PeerLinks(const config::NodeSettings& node_settings, Post event_hook,
            PostReceived received_hook);

  /// Binds and connects. Throws Poco::Exception when the port is taken.
  void Start();
  /// Sends what is queued, then closes. Waits for the threads to end.
  void Stop();
  /// Queues a message; posts PeerMessageNotSent when the link is down.
  void Send(const SendToPeer& send);
  /// Opens a link, or moves it to another address.
  void Connect(const ConnectPeer& connect);
  void Reopen(const ReopenLink& link);
  void Disconnect(const DisconnectPeer& peer);

 private:
  void Open(const config::PeerEndpoint& peer);

  const config::NodeSettings& settings;
  Post post;
  PostReceived post_received;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::TCPServer> server;
  std::map<NodeName, std::unique_ptr<OutboundLink>> links;
  /// Closed links whose threads may still run.
  std::vector<std::unique_ptr<OutboundLink>> closed;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PEER_LINKS_H_
