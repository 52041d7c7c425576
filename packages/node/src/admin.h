#ifndef BASILSPREAD_NODE_ADMIN_H_
#define BASILSPREAD_NODE_ADMIN_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "http_loop.h"

namespace basilspread::node {

/// HTTP server for operators, with an address of its own: state dump and
/// metrics.
class Admin {
 public:
  struct Hooks {
    /// Posts an event to the control thread.
    std::function<void(EventBody)> post;
    /// Sections of the state dump about the process and its thread pools.
    std::function<StateReport()> describe_node;
    std::function<StateReport()> describe_metrics;
    /// The metrics in the Prometheus text format.
    std::function<std::string()> expose_metrics;
  };

  Admin(const config::Endpoint& admin_endpoint, Hooks report_hooks,
        ConnectionBudgetPtr budget);

  /// Binds the address and starts serving. Throws Poco::Exception if the port
  /// is in use.
  void Start();
  void Stop();
  void Answer(const AnswerDump& answer);

 private:
  void OnRequest(CallId call, const PayloadPtr& request);
  void OnDisconnect(CallId call);

  const Hooks hooks;
  std::mutex mutex;
  /// Whether each open call for a dump asked for JSON.
  std::map<CallId, bool> dumps;
  HttpLoop loop;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_ADMIN_H_
