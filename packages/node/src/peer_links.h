#ifndef BASILSPREAD_NODE_PEER_LINKS_H_
#define BASILSPREAD_NODE_PEER_LINKS_H_

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <map>
#include <memory>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "outbound_link.h"

namespace basilspread::node {

/// The connections to the other entry processes: one outbound connection to
/// each peer carries what this process sends, inbound ones what it receives.
class PeerLinks {
 public:
  using Post = std::function<void(EventBody)>;

  PeerLinks(const config::NodeSettings& node_settings, Post event_hook);

  /// Binds and connects. Throws Poco::Exception when the port is taken.
  void Start();
  void Stop();
  /// Queues a message; posts PeerMessageNotSent when the link is down.
  void Send(const SendToPeer& send);

 private:
  const config::NodeSettings& settings;
  Post post;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::TCPServer> server;
  std::map<NodeName, std::unique_ptr<OutboundLink>> links;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PEER_LINKS_H_
