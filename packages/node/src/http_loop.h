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
  /// A request must have come whole after this.
  Duration read_timeout = std::chrono::seconds(20);
  /// A connection without a request is closed after this.
  Duration idle_timeout = std::chrono::seconds(60);
  /// A caller must have taken its answer after this.
  Duration write_timeout = std::chrono::seconds(20);
  /// A refused caller's further bytes are taken and dropped this long, since
  /// closing on unread bytes could destroy the answer on its way.
  Duration close_timeout = std::chrono::seconds(2);
};

/// An HTTP server on one thread. Connections that are idle, slow or waiting
/// for an answer hold no thread, so that they cannot keep others from being
/// read.
class HttpLoop {
 public:
  struct Hooks {
    /// A request was read whole. Must not block.
    std::function<void(CallId, PayloadPtr)> on_request;
    /// The caller of an unanswered request has closed. Must not block.
    std::function<void(CallId)> on_gone;
  };

  HttpLoop(const config::Endpoint& endpoint, HttpLimits connection_limits,
           Hooks event_hooks);
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Binds and serves. Throws Poco::Exception when the address is taken.
  void Start();

  /// Makes the response to a request, on the loop's thread.
  using ResponseMaker = std::function<PayloadPtr()>;

  /// Answers a request, from any thread. Dropped when the caller is gone.
  void Answer(CallId call, ResponseMaker make_response);

  /// From now on every answer ends its connection; new ones are still taken.
  /// From any thread.
  void DisableKeepAlive();

  /// From now on new connections are refused, and every answer ends its
  /// connection. From any thread.
  void Drain();

  /// Gives the answers so far for at most `bound`, then ends the thread. Calls
  /// without an answer are told that their outcome is not known; requests that
  /// come meanwhile are refused.
  void Stop(Duration bound);

  std::size_t ConnectionCount() const { return this->connection_count; }

 private:
  struct PendingAnswer {
    CallId call;
    ResponseMaker make_response;
  };

  void Run();
  void Accept();
  bool MakeRoom();
  void CloseOldest(ConnectionPhase phase);
  void OnReady(const Poco::Net::Socket& socket, int mode);
  void Read(const ConnectionPtr& connection);
  void TakeRequest(const ConnectionPtr& connection);
  void Refuse(const ConnectionPtr& connection, const Error& error);
  void Write(const ConnectionPtr& connection);
  void GiveAnswers();
  void Give(CallId call, const ResponseMaker& make_response);
  /// Answers those that nobody else will answer any more.
  void EndOpenCalls();
  void Enter(const ConnectionPtr& connection, ConnectionPhase phase);
  void Watch(const ConnectionPtr& connection);
  void Close(const ConnectionPtr& connection);
  void CloseOverdue(ConnectionPhase phase, Duration timeout);
  bool HasWork() const;
  bool IsDone();
  ConnectionList& ListOf(ConnectionPhase phase);

  const config::Endpoint address;
  const HttpLimits limits;
  const Hooks hooks;
  Poco::Net::ServerSocket listener;
  WakeSocket wake_socket;
  Poco::Net::PollSet poll_set;
  /// One list a phase, oldest first.
  std::array<ConnectionList, kConnectionPhases> phases;
  std::map<Poco::Net::Socket, ConnectionPtr> connections;
  std::map<CallId, ConnectionPtr> calls;
  std::uint64_t last_call = 0;
  bool is_listening = false;
  std::atomic<std::size_t> connection_count = 0;
  std::atomic<bool> winding = false;
  std::atomic<bool> draining = false;
  std::atomic<bool> ending = false;
  std::mutex mutex;
  std::vector<PendingAnswer> answers;
  /// Set by Stop: when the thread gives up.
  std::optional<TimePoint> stop_at;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_LOOP_H_
