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
#include "connection_budget.h"
#include "outbound_link.h"

namespace basilspread::node {

/// Connections to the other entry processes. Messages are sent over one
/// outbound connection per peer and received over inbound ones. Send, Connect,
/// Reopen and Disconnect are called on the control thread and never block.
class PeerLinks {
 public:
  using Post = std::function<void(EventBody)>;
  /// Posts an event; blocks while the queue is full. Returns false once the
  /// control loop has ended.
  using PostReceived = std::function<bool(EventBody)>;

  PeerLinks(const config::NodeSettings& node_settings, Post event_hook,
            PostReceived received_hook, ConnectionBudgetPtr connection_budget);

  /// Binds the address and connects to the peers. Throws Poco::Exception if the
  /// port is in use.
  void Start();
  /// Sends the queued messages, closes the connections and waits for the
  /// threads to end.
  void Stop();
  /// Queues a message. Posts PeerMessageNotSent if it cannot be queued.
  void Send(const SendToPeer& send);
  /// Opens a link to a peer, or redirects the existing one.
  void Connect(const ConnectPeer& connect);
  void Reopen(const ReopenLink& link);
  void Disconnect(const DisconnectPeer& peer);

 private:
  void Open(const config::PeerEndpoint& peer);

  const config::NodeSettings& settings;
  Post post;
  PostReceived post_received;
  ConnectionBudgetPtr budget;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::TCPServer> server;
  std::map<NodeName, std::unique_ptr<OutboundLink>> links;
  /// Closed links whose threads may still run.
  std::vector<std::unique_ptr<OutboundLink>> closed;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PEER_LINKS_H_
