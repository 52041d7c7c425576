#ifndef BASILSPREAD_NODE_STORE_NODE_H_
#define BASILSPREAD_NODE_STORE_NODE_H_

#include <functional>
#include <string_view>

#include "admin.h"
#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/state.h"
#include "control_loop.h"
#include "http_client_loop.h"
#include "metrics.h"
#include "peer_links.h"

namespace basilspread::node {

/// What the parts that speak to the outside are given.
struct ProcessHooks {
  using Post = std::function<void(EventBody)>;

  /// Hands an event to the control thread.
  Post post;
  /// Told of each call to another service: its kind, whether it was answered
  /// with success, and the time that it took.
  std::function<void(std::string_view service, bool is_ok, Duration time)>
      measure;
  /// Told of each turn of the thread that makes these calls.
  HttpClientLoop::OnTurn on_turn;
};

/// What speaks to the store, the workers and the callers.
struct AdapterHooks {
  /// Binds and serves. Throws Poco::Exception when a port is taken.
  std::function<void()> start;
  /// Gives the answers that are due, for at most this long, and ends.
  std::function<void(Duration)> stop;
  /// Carries an effect out without blocking; false when it is none of its.
  std::function<bool(const Effect&)> execute;
};

/// Makes the hooks of one process.
using AdapterFactory =
    std::function<AdapterHooks(const config::NodeSettings&, ProcessHooks)>;

/// One entry process where all that must last is in a shared store.
class StoreNode {
 public:
  StoreNode(config::NodeSettings node_settings, const AdapterFactory& factory);

  /// Serves until a stop was requested and the callers have their answers.
  /// Throws Poco::Exception when an address cannot be bound.
  void Run();
  /// May be called from any thread.
  void RequestStop();

 private:
  ProcessHooks::Post MakePost();
  void Execute(const Effect& effect);

  config::NodeSettings settings;
  Metrics metrics;
  State state;
  ControlLoop loop;
  Admin admin;
  PeerLinks peers;
  AdapterHooks outside;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_STORE_NODE_H_
