#ifndef BASILSPREAD_NODE_INBOUND_CONNECTION_H_
#define BASILSPREAD_NODE_INBOUND_CONNECTION_H_

#include <Poco/Net/TCPServerConnection.h>

#include <functional>
#include <optional>
#include <string>

#include "basilspread/core/error.h"
#include "basilspread/core/event.h"
#include "basilspread/core/time.h"
#include "connection_budget.h"

namespace basilspread::node {

/// Reads the frames of a peer's connection until it ends, times out or sends an
/// invalid frame.
class InboundConnection : public Poco::Net::TCPServerConnection {
 public:
  /// Posts an event; blocks while the queue is full. Returns false once the
  /// control loop has ended.
  using PostReceived = std::function<bool(EventBody)>;

  InboundConnection(const Poco::Net::StreamSocket& socket,
                    const PostReceived& received_hook,
                    const ConnectionBudgetPtr& budget);

  void run() override;

 private:
  bool TakeFrame();
  /// Reads `size` bytes; unset if the connection ends, the deadline passes
  /// before they are received, or the budget closes the connection.
  std::optional<std::string> Receive(std::size_t size, TimePoint deadline);
  void RejectFrame(const Error& error, const std::string& bytes);

  const PostReceived& post;
  ConnectionAccount account;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_INBOUND_CONNECTION_H_
