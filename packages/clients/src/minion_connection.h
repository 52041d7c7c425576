#ifndef BASILSPREAD_CLIENTS_SRC_MINION_CONNECTION_H_
#define BASILSPREAD_CLIENTS_SRC_MINION_CONNECTION_H_

#include <Poco/Net/HTTPClientSession.h>

#include <functional>
#include <string>

#include "basilspread/core/payload.h"
#include "basilspread/core/time.h"
#include "deadline_socket.h"

namespace basilspread::clients {

/// One connection to a minion, for one exchange after the other.
class MinionConnection {
 public:
  using Now = DeadlineSocketImpl::Now;

  /// Connects within `timeout`. Throws Poco::Exception when that fails.
  MinionConnection(const std::string& minion_address, Duration timeout,
                   const Now& clock_hook);
  MinionConnection(const MinionConnection&) = delete;
  MinionConnection& operator=(const MinionConnection&) = delete;

  const std::string& Address() const { return this->address; }

  /// Whether the connection stands and no bytes wait to be read.
  bool IsQuiet();

  /// Writes a request; throws Poco::Exception on failure.
  void Write(const Payload& payload, TimePoint deadline);

  /// The whole answer. Throws Poco::Exception when it does not come whole
  /// before the deadline of Write.
  PayloadPtr Read();

  /// Whether another exchange may follow the last one.
  bool IsReusable() const { return this->reusable; }

 private:
  /// POCO's session opens a new connection by itself when a write fails and
  /// sends the request a second time; this one does not.
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
