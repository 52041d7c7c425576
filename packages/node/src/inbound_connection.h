#ifndef BASILSPREAD_NODE_INBOUND_CONNECTION_H_
#define BASILSPREAD_NODE_INBOUND_CONNECTION_H_

#include <Poco/Net/TCPServerConnection.h>

#include <functional>
#include <optional>
#include <string>

#include "basilspread/core/error.h"
#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// Reads the frames of one peer's connection until it ends, goes silent or is
/// malformed.
class InboundConnection : public Poco::Net::TCPServerConnection {
 public:
  /// Waits for room; false once the process ends.
  using PostReceived = std::function<bool(EventBody)>;

  InboundConnection(const Poco::Net::StreamSocket& socket,
                    const PostReceived& received_hook);

  void run() override;

 private:
  bool TakeFrame();
  /// Unset when the connection ended, or the deadline passed, before `size`
  /// bytes came.
  std::optional<std::string> Receive(std::size_t size, TimePoint deadline);
  void RefuseFrame(const Error& error, const std::string& bytes);

  const PostReceived& post;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_INBOUND_CONNECTION_H_
