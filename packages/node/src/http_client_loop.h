#ifndef BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_
#define BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_

#include <Poco/Net/PollSet.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "basilspread/core/time.h"
#include "http_exchange.h"
#include "wake_socket.h"

namespace basilspread::node {

/// An HTTP client for many servers on one thread. Calls of one lane share a
/// kept-open connection, one after another; those behind a slow call may take
/// another one.
class HttpClientLoop {
 public:
  HttpClientLoop() = default;
  ~HttpClientLoop();
  HttpClientLoop(const HttpClientLoop&) = delete;
  HttpClientLoop& operator=(const HttpClientLoop&) = delete;

  /// Throws Poco::Exception when no socket can be had.
  void Start();
  /// Ends the thread; calls under way are dropped without a reply.
  void Stop();

  /// Makes a call, from any thread. Its hook is called once, on the loop's
  /// thread.
  void Send(HttpCall call);

 private:
  using Lane = std::pair<std::string, std::string>;

  void Run();
  void TakeCalls();
  void OnReady(const Poco::Net::Socket& socket, int mode);
  void Watch(const HttpExchangePtr& exchange);
  void Unwatch(const HttpExchangePtr& exchange);
  void CheckDeadlines();
  void Expire(const HttpExchangePtr& exchange, TimePoint now);
  void OvertakeSlowCalls();
  void DropIdleStragglers();
  Poco::Timespan UntilNextDeadline() const;

  Poco::Net::PollSet poll_set;
  WakeSocket wake_socket;
  std::map<Lane, HttpExchangePtr> lanes;
  /// Connections with one slow call each, which their lanes have left.
  std::vector<HttpExchangePtr> stragglers;
  std::map<Poco::Net::Socket, HttpExchangePtr> by_socket;
  std::mutex mutex;
  std::vector<HttpCall> incoming;
  bool stopping = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_
