#ifndef BASILSPREAD_NODE_HTTP_CONNECTION_H_
#define BASILSPREAD_NODE_HTTP_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/result.h"
#include "basilspread/core/time.h"
#include "http_message.h"

namespace basilspread::node {

/// What a connection waits for.
enum class ConnectionPhase {
  /// The first byte of a request.
  kIdle,
  /// The rest of a request.
  kReading,
  /// The answer, which the control thread will give.
  kAnswering,
  /// The caller, to take the bytes of the answer.
  kWriting,
  /// The caller's close, after a request that was refused half read.
  kClosing,
};

inline constexpr std::size_t kConnectionPhases = 5;

/// One connection of a caller. Used by the loop's thread only; no call
/// blocks.
class HttpConnection
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      public boost::intrusive_ref_counter<HttpConnection,
                                          boost::thread_unsafe_counter> {
 public:
  explicit HttpConnection(const Poco::Net::StreamSocket& caller_socket);

  /// Takes the bytes that have come. False when the caller has closed.
  /// Throws Poco::Exception when the connection broke.
  bool Receive();

  /// The next whole request among the bytes received; unset while it is
  /// incomplete. Errors: kBadRequest, kTooLarge; the connection is then of
  /// no further use for reading.
  Result<std::optional<PayloadPtr>> TakeRequest(std::size_t max_body_bytes);

  /// Forgets what was received: the caller is no longer listened to.
  void DropInput() { this->input.clear(); }

  /// Queues the answer to the request taken last.
  void Answer(const Payload& response, bool may_keep_alive);

  /// Writes what the caller takes now. True when all is written.
  /// Throws Poco::Exception when the connection broke.
  bool Flush();

  bool HasInput() const { return !this->input.empty(); }
  bool HasOutput() const { return this->written < this->output.size(); }
  /// Whether the connection outlives the answer.
  bool KeepsAlive() const { return this->keep_alive; }

  Poco::Net::StreamSocket socket;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  /// When the phase began.
  TimePoint phase_began;
  /// The exchange in progress; valid in kAnswering.
  CallId call;
  /// What the poll set watches the socket for.
  int poll_mode = 0;

 private:
  Result<bool> TakeHead(std::size_t max_body_bytes);

  std::string input;
  std::string output;
  std::size_t written = 0;
  std::optional<RequestHead> head;
  bool keep_alive = false;
  bool head_only = false;
};

using ConnectionPtr = boost::intrusive_ptr<HttpConnection>;
using ConnectionList =
    boost::intrusive::list<HttpConnection,
                           boost::intrusive::constant_time_size<false>>;

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CONNECTION_H_
