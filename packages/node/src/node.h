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
#include "control_loop.h"
#include "executor.h"
#include "front_end.h"
#include "interpreter.h"
#include "metrics.h"
#include "peer_links.h"

namespace basilspread::node {

/// One entry process: the control thread's loop and the traffic threads that
/// carry out its effects.
class Node {
 public:
  explicit Node(config::NodeSettings node_settings);

  /// Serves until a stop was requested and everything is drained. Throws
  /// Poco::Exception when an address cannot be bound.
  void Run();

  /// May be called from any thread.
  void RequestStop();

 private:
  std::function<void(EventBody)> MakePost();
  /// What the traffic side adds to the state dump.
  StateReport DescribeNode();

  config::NodeSettings settings;
  Metrics metrics;
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
