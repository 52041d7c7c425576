#ifndef BASILSPREAD_NODE_HTTP_LOOP_H_
#define BASILSPREAD_NODE_HTTP_LOOP_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/time.h"
#include "http_connection.h"
#include "wake_socket.h"

namespace basilspread::node {

struct HttpLimits {
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  /// Time to receive a complete request.
  Duration read_timeout = std::chrono::seconds(20);
  /// Time after which a connection without a request is closed.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time for the caller to receive its complete answer.
  Duration write_timeout = std::chrono::seconds(20);
  /// Time to read and discard further input after a rejected request. Closing a
  /// socket with unread input would reset the connection, and the caller could
  /// lose the answer.
  Duration close_timeout = std::chrono::seconds(2);
  /// Time after which an open call gets the answer of Hooks::make_late_answer;
  /// zero: no limit.
  Duration answer_timeout{};
};

/// Returns a hook that numbers the calls after this one.
std::function<CallId()> NumberCallsAfter(CallId call);

/// Event-driven HTTP server on one thread. Connections that are idle, slow or
/// waiting for an answer occupy no thread, so that they do not block others.
class HttpLoop {
 public:
  struct Hooks {
    /// Called with each complete request. Must not block.
    std::function<void(CallId, PayloadPtr)> on_request;
    /// Called when the connection of an unanswered request is closed. Must not
    /// block.
    std::function<void(CallId)> on_disconnect;
    /// Creates the answer to a call that exceeded the answer timeout.
    std::function<PayloadPtr()> make_late_answer = {};
    /// Returns the number of the next request.
    std::function<CallId()> number_call = NumberCallsAfter({});
  };

  /// Without a budget, the memory of all connections is not limited.
  HttpLoop(const config::Endpoint& endpoint, HttpLimits connection_limits,
           Hooks event_hooks, ConnectionBudgetPtr connection_budget = {},
           ConnectionPort connection_port = ConnectionPort::kCallers);
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Binds the address and starts serving. Throws Poco::Exception if it is in
  /// use.
  void Start();

  /// Creates the response to a request. Called on the loop's thread.
  using ResponseMaker = std::function<PayloadPtr()>;

  /// Answers a request. The answer is dropped if the caller has disconnected.
  /// May be called from any thread.
  void Answer(CallId call, ResponseMaker make_response);

  /// Closes each connection after its next answer, from now on. New connections
  /// are still accepted. May be called from any thread.
  void DisableKeepAlive();

  /// Stops accepting connections, and closes each open one after its next
  /// answer. May be called from any thread.
  void Drain();

  /// Sends the pending answers for at most `bound`, then ends the thread. Calls
  /// without an answer get kOutcomeUnknown, and requests that arrive meanwhile
  /// get kStopping.
  void Stop(Duration bound);

  std::size_t ConnectionCount() const { return this->connection_count; }

 private:
  struct PendingAnswer {
    CallId call;
    ResponseMaker make_response;
  };

  void Run();
  void Accept();
  /// Frees a descriptor and leaves new connections to the kernel for a while.
  void PauseAccepting();
  void ResumeAccepting();
  bool FreeConnectionSlot(std::size_t descriptor);
  void OnReady(const Poco::Net::Socket& socket, int mode);
  void Read(const ConnectionPtr& connection);
  void TakeRequest(const ConnectionPtr& connection);
  void Refuse(const ConnectionPtr& connection, const Error& error);
  void Write(const ConnectionPtr& connection);
  void SendAnswers();
  void SendAnswer(CallId call, const ResponseMaker& make_response);
  /// Answers the calls that the stopped control thread left open.
  void AnswerOpenCalls();
  void AnswerLateCalls();
  void EnterPhase(const ConnectionPtr& connection, ConnectionPhase phase);
  void Watch(const ConnectionPtr& connection);
  void Close(const ConnectionPtr& connection);
  /// Closes the connection after an unexpected error of this process.
  void CloseAfterError(const ConnectionPtr& connection, const char* reason);
  void CloseOverdue(ConnectionPhase phase, Duration timeout);
  bool HasWork() const;
  bool IsDone();
  ConnectionList& ListOf(ConnectionPhase phase);

  const config::Endpoint address;
  const HttpLimits limits;
  const Hooks hooks;
  const ConnectionBudgetPtr budget;
  const ConnectionPort port;
  Poco::Net::ServerSocket listener;
  WakeSocket wake_socket;
  Poco::Net::PollSet poll_set;
  /// The connections of each phase, oldest first.
  std::array<ConnectionList, kConnectionPhases> phases;
  std::map<Poco::Net::Socket, ConnectionPtr> connections;
  std::map<CallId, ConnectionPtr> calls;
  bool is_listening = false;
  /// Set while no connections are accepted.
  std::optional<TimePoint> accept_again_at;
  std::atomic<std::size_t> connection_count = 0;
  std::atomic<bool> keep_alive_disabled = false;
  std::atomic<bool> draining = false;
  std::atomic<bool> ending = false;
  std::mutex mutex;
  std::vector<PendingAnswer> answers;
  /// Set by Stop: time at which the thread ends with answers unsent.
  std::optional<TimePoint> stop_deadline;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_LOOP_H_
