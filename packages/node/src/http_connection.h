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
#include "connection_budget.h"
#include "http_message.h"

namespace basilspread::node {

/// State of a connection, by what it waits for.
enum class ConnectionPhase {
  /// The first byte of a request.
  kIdle,
  /// The rest of a request.
  kReading,
  /// The answer of the control thread.
  kAnswering,
  /// The caller, to receive the rest of the answer.
  kWriting,
  /// The caller's close, after an incomplete request was rejected.
  kClosing,
};

inline constexpr std::size_t kConnectionPhases = 5;

/// Connection of a caller to an HttpLoop. Used by the loop's thread only; no
/// method blocks.
class HttpConnection
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      public boost::intrusive_ref_counter<HttpConnection,
                                          boost::thread_unsafe_counter> {
 public:
  HttpConnection(const Poco::Net::StreamSocket& caller_socket,
                 const ConnectionBudgetPtr& budget, ConnectionPort port);

  /// Reads available bytes into the input buffer. Returns false if the caller
  /// has closed the connection. Throws Poco::Exception if the connection
  /// failed.
  bool Receive();

  /// Removes and returns the next request of the input buffer; unset while it
  /// is incomplete. Errors: kBadRequest, kTooLarge; no further request can be
  /// read after an error.
  Result<std::optional<PayloadPtr>> TakeRequest(std::size_t max_body_bytes);

  /// Discards the input buffer.
  void DropInput() { std::string().swap(this->input); }

  /// Appends the answer to the last request to the output buffer.
  void Answer(const Payload& response, bool may_keep_alive);

  /// Writes as much output as the socket accepts. Returns true if all of it is
  /// written. Throws Poco::Exception if the connection failed.
  bool Flush();

  /// Sets the memory of the buffers and of a request in progress in the budget;
  /// returns false if the connection is to be closed.
  bool Hold(TimePoint now);
  /// Bytes of the output buffer that are not written.
  std::size_t PendingOutput() const {
    return this->output.size() - this->written;
  }

  bool HasInput() const { return !this->input.empty(); }
  bool HasOutput() const { return this->written < this->output.size(); }
  /// Whether the connection stays open after the answer.
  bool KeepsAlive() const { return this->keep_alive; }

  Poco::Net::StreamSocket socket;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  /// Time at which the phase began.
  TimePoint phase_began;
  /// The call in progress; valid in kAnswering.
  CallId call;
  /// Events that the poll set watches the socket for; 0 if it is not watched.
  int poll_mode = 0;
  ConnectionAccount account;

 private:
  Result<bool> TakeHead(std::size_t max_body_bytes);
  /// Makes room for the bytes of the input buffer that arrive next.
  void Reserve(std::size_t count);

  std::string input;
  std::string output;
  std::size_t written = 0;
  /// Size of the request that is being answered.
  std::size_t request_bytes = 0;
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
