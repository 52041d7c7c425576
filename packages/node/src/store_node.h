#ifndef BASILSPREAD_NODE_STORE_NODE_H_
#define BASILSPREAD_NODE_STORE_NODE_H_

#include <functional>
#include <string_view>

#include "admin.h"
#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/state.h"
#include "connection_budget.h"
#include "control_loop.h"
#include "http_client_loop.h"
#include "metrics.h"
#include "peer_links.h"

namespace basilspread::node {

/// Hooks by which an adapter calls into its process.
struct ProcessHooks {
  using Post = std::function<void(EventBody)>;

  /// Posts an event to the control thread.
  Post post;
  /// Called after each call to another service with the kind of service,
  /// whether the call succeeded, and the time that it took.
  std::function<void(std::string_view service, bool is_ok, Duration time)>
      measure;
  /// Called after each turn of the loop that makes these calls.
  HttpClientLoop::OnTurn on_turn;
  /// Accounts for the connections of the process; null: not limited.
  ConnectionBudgetPtr budget = {};
};

/// Hooks by which a process uses an adapter, which implements the protocols of
/// the store, the workers and the callers.
struct AdapterHooks {
  /// Binds the addresses and starts serving. Throws Poco::Exception if a port
  /// is in use.
  std::function<void()> start;
  /// Sends the pending answers for at most the given time, then ends the
  /// threads.
  std::function<void(Duration)> stop;
  /// Executes an effect without blocking. Returns false if the adapter does not
  /// handle effects of this type.
  std::function<bool(const Effect&)> execute;
};

/// Creates an adapter for a process.
using AdapterFactory =
    std::function<AdapterHooks(const config::NodeSettings&, ProcessHooks)>;

/// An entry process that keeps its durable state in a shared store.
class StoreNode {
 public:
  StoreNode(config::NodeSettings node_settings, const AdapterFactory& factory);

  /// Serves until a stop is requested and the callers have been answered.
  /// Throws Poco::Exception if an address cannot be bound.
  void Run();
  /// May be called from any thread.
  void RequestStop();

 private:
  ProcessHooks::Post MakePost();
  void Execute(const Effect& effect);

  config::NodeSettings settings;
  Metrics metrics;
  ConnectionBudgetPtr budget;
  State state;
  ControlLoop loop;
  Admin admin;
  PeerLinks peers;
  AdapterHooks adapter;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_STORE_NODE_H_
