#ifndef BASILSPREAD_NODE_NODE_H_
#define BASILSPREAD_NODE_NODE_H_

#include <functional>

#include "admin.h"
#include "basilspread/clients/host_list_client.h"
#include "basilspread/clients/log_client.h"
#include "basilspread/clients/minion_client.h"
#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/state.h"
#include "connection_budget.h"
#include "control_loop.h"
#include "executor.h"
#include "front_end.h"
#include "interpreter.h"
#include "metrics.h"
#include "peer_links.h"

namespace basilspread::node {

/// An entry process: the control loop and the traffic threads that execute its
/// effects.
class Node {
 public:
  explicit Node(config::NodeSettings node_settings);

  /// Serves until a stop is requested and all requests are drained. Throws
  /// Poco::Exception if an address cannot be bound.
  void Run();

  /// May be called from any thread.
  void RequestStop();

 private:
  std::function<void(EventBody)> MakePost();
  /// Accounts for the responses of other services.
  clients::OpenResponse MakeOpenResponse();
  /// Sections of the state dump about the process and its thread pools.
  StateReport DescribeNode();

  config::NodeSettings settings;
  Metrics metrics;
  ConnectionBudgetPtr budget;
  State state;
  ControlLoop loop;
  clients::LogClient log;
  clients::HostListClient host_list;
  clients::MinionClient minions;
  clients::WorkerClient workers;
  FrontEnd front_end;
  Admin admin;
  PeerLinks peers;
  Executor platform_calls;
  Executor minion_calls;
  Executor worker_calls;
  Interpreter interpreter;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_NODE_H_
