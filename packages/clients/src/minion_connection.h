#ifndef BASILSPREAD_CLIENTS_SRC_MINION_CONNECTION_H_
#define BASILSPREAD_CLIENTS_SRC_MINION_CONNECTION_H_

#include <Poco/Net/HTTPClientSession.h>

#include <functional>
#include <string>

#include "basilspread/clients/response_memory.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/time.h"
#include "deadline_socket.h"

namespace basilspread::clients {

/// One connection to a minion, for sequential exchanges.
class MinionConnection {
 public:
  using Now = DeadlineSocketImpl::Now;

  /// Connects within `timeout`. Throws Poco::Exception on failure.
  MinionConnection(const std::string& minion_address, Duration timeout,
                   const Now& clock_hook);
  MinionConnection(const MinionConnection&) = delete;
  MinionConnection& operator=(const MinionConnection&) = delete;

  const std::string& Address() const { return this->address; }

  /// Whether the connection is open and has no unread bytes.
  bool IsIdle();

  /// Writes a request and sets the deadline of the exchange. Throws
  /// Poco::Exception on failure.
  void Write(const Payload& payload, TimePoint deadline);

  /// Reads the complete answer. Throws Poco::Exception if it is not complete
  /// before the deadline given to Write.
  PayloadPtr Read(const OpenResponse& open_response);

  /// Whether the connection can carry another exchange.
  bool IsReusable() const { return this->reusable; }

 private:
  /// Disables POCO's automatic reconnect, which sends a request again when a
  /// write fails.
  class Session : public Poco::Net::HTTPClientSession {
   public:
    using HTTPClientSession::HTTPClientSession;

   protected:
    int write(const char* buffer, std::streamsize length) override {
      // NOLINTNEXTLINE(bugprone-parent-virtual-call)
      return HTTPSession::write(buffer, length);
    }
    bool mustReconnect() const override { return false; }
  };

  std::string address;
  /// Owned by the session's socket.
  DeadlineSocketImpl* socket;
  Session session;
  std::string method;
  bool reusable = false;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_MINION_CONNECTION_H_
