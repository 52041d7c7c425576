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

/// Statistics of one turn of a client loop.
struct ClientTurn {
  /// Calls without a reply at the end of the turn.
  std::size_t open_calls = 0;
  /// Duration of the turn, without the wait for sockets.
  Duration took{};
};

/// HTTP client for many servers on one thread. The calls of a lane share a
/// persistent connection, one at a time. Calls queued behind a slow call move
/// to another connection, see HttpCall::slow_after.
class HttpClientLoop {
 public:
  /// Called after each turn, on the loop's thread. Must not block.
  using OnTurn = std::function<void(const ClientTurn&)>;

  /// Without a budget, the memory of all responses is not limited.
  explicit HttpClientLoop(OnTurn turn_hook = {},
                          ConnectionBudgetPtr connection_budget = {});
  ~HttpClientLoop();
  HttpClientLoop(const HttpClientLoop&) = delete;
  HttpClientLoop& operator=(const HttpClientLoop&) = delete;

  /// Starts the thread. Throws Poco::Exception if no event descriptor can be
  /// created.
  void Start();
  /// Ends the thread. Open calls are dropped without a reply.
  void Stop();

  /// Queues a call. May be called from any thread. The call's `done` hook is
  /// called once, on the loop's thread.
  void Send(HttpCall call);

  /// Number of times since the start that the loop has handled an exchange. May
  /// be called from any thread.
  std::uint64_t ExchangesHandled() const { return this->exchanges_handled; }

 private:
  void Run();
  /// Returns how long to wait for sockets; unset if the loop is to end. After
  /// this, Send wakes the thread.
  std::optional<Poco::Timespan> BeginWait();
  void TakeCalls();
  void OnReady(const Poco::Net::Socket& socket, int mode);
  /// Fails the calls whose deadline has passed, and moves the calls that wait
  /// behind a slow one.
  void HandleDue();
  /// Moves the calls behind a slow one to a new exchange of the lane.
  void Overtake(const HttpExchangePtr& slow);
  /// Updates the counts, the poll set and the schedule. Must be called after
  /// each change of an exchange.
  void Refresh(const HttpExchangePtr& exchange);
  void Watch(const HttpExchangePtr& exchange);
  void Unwatch(const HttpExchangePtr& exchange);
  Poco::Timespan UntilNextTime() const;

  const OnTurn on_turn;
  const ConnectionBudgetPtr budget;
  Poco::Net::PollSet poll_set;
  WakeSocket wake_socket;
  std::map<Lane, HttpExchangePtr> lanes;
  /// Exchanges with one slow call each that no longer belong to their lane.
  std::set<HttpExchangePtr> detached;
  ExchangeSchedule schedule;
  std::size_t open_calls = 0;
  std::atomic<std::uint64_t> exchanges_handled = 0;
  std::map<Poco::Net::Socket, HttpExchangePtr> by_socket;
  std::mutex mutex;
  std::vector<HttpCall> incoming;
  /// Whether the thread is waiting, or about to wait, for sockets.
  bool is_waiting = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_CLIENT_LOOP_H_
