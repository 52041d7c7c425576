#ifndef BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_
#define BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_

#include <Poco/Net/PollSet.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include "basilspread/core/time.h"
#include "exchange_schedule.h"
#include "http_exchange.h"
#include "wake_socket.h"

namespace basilspread::node {

/// What one turn of a client loop was like.
struct ClientTurn {
  /// Calls without a reply at its end.
  std::size_t open_calls = 0;
  /// From the end of the wait for sockets on.
  Duration took{};
};

/// An HTTP client for many servers on one thread. Calls of one lane share a
/// kept-open connection, one after another; those behind a slow call may take
/// another one.
class HttpClientLoop {
 public:
  /// Told of each turn, on the loop's thread. Must not block.
  using OnTurn = std::function<void(const ClientTurn&)>;

  explicit HttpClientLoop(OnTurn turn_hook = {});
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

  /// Lanes and connections that the loop has worked on since its start, each
  /// time counted. May be called from any thread.
  std::uint64_t ExchangesLookedAt() const { return this->looked_at; }

 private:
  void Run();
  /// How long to wait for a socket; unset when the loop is to end. From now on
  /// a call wakes the thread.
  std::optional<Poco::Timespan> BeginWait();
  void TakeCalls();
  void OnReady(const Poco::Net::Socket& socket, int mode);
  /// Gives up and overtakes the calls whose time has come.
  void HandleDue();
  /// The calls behind a slow one take another connection.
  void Overtake(const HttpExchangePtr& slow);
  /// To be called after each change of an exchange.
  void Settle(const HttpExchangePtr& exchange);
  void Watch(const HttpExchangePtr& exchange);
  void Unwatch(const HttpExchangePtr& exchange);
  Poco::Timespan UntilNextTime() const;

  const OnTurn on_turn;
  Poco::Net::PollSet poll_set;
  WakeSocket wake_socket;
  std::map<Lane, HttpExchangePtr> lanes;
  /// Connections with one slow call each, which their lanes have left.
  std::set<HttpExchangePtr> stragglers;
  ExchangeSchedule schedule;
  std::size_t open_calls = 0;
  std::atomic<std::uint64_t> looked_at = 0;
  std::map<Poco::Net::Socket, HttpExchangePtr> by_socket;
  std::mutex mutex;
  std::vector<HttpCall> incoming;
  /// The thread is, or is about to be, in its poll set.
  bool is_waiting = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_
